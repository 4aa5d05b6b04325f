package wire

import (
	"bytes"
	"encoding/hex"
	"io"
	"strings"
	"testing"

	"sliptide/internal/config"
	"sliptide/policy"
)

// settings is the settings text of a start record. Its unknown key must be ignored.
const settings = "balancers=2\nfamily_info.call_slots=14\nlimits.max_attempts=8\nlimits.most_held=250\n" +
	"services.count=1\nservices.0.deadline=20000.0\nservices.0.aim=4000.0\nservices.0.effect=keyed\n" +
	"services.0.worth=1\nservices.0.memory_span=20000.0\nservices.0.key_scope=all\nfamily_info.kind_batch=20,1\nfamily_info.own_limits=false,true\n" +
	"reporting.fields=x0,x1\nunknown.key=1\n"

func decodeHex(t testing.TB, s string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.Join(strings.Fields(s), ""))
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// exampleBatch is the example batch of the protocol's description, without the records that start its instances.
const exampleBatch = `00000003 00000053 40c06e2000000000 0000000c
	02 00000030 00000003 000e7fcf5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 42640000 0001
	06 00000008 00000003 0000004d
	05 0000000c 00000005 00048f080e6f2b19`

// Guards against a Decoder that departs from the protocol's description.
func TestDecodesExampleBatch(t *testing.T) {
	b, err := NewDecoder(bytes.NewReader(decodeHex(t, exampleBatch))).Next()
	if err != nil {
		t.Fatal(err)
	}
	if b.Now != 8412.25 || b.Seq != 12 || len(b.Records) != 3 {
		t.Fatalf("now %v, sequence number %d, %d records; want 8412.25, 12, 3", b.Now, b.Seq, len(b.Records))
	}
	e := b.Records[0].Event
	if e.Kind != policy.EvMessage || e.ID != 0x000e7fcf5d3a91c4 || e.Remaining != 240 || e.Dest != 57 ||
		e.Key != 0x91f03b7c55d20a64 || b.Records[0].Instance != 3 {
		t.Fatalf("message record: %+v, want the ID, remaining time, destination and key of the example", e)
	}
	if e := b.Records[1].Event; e.Kind != policy.EvTimer || e.Token != 0x4d {
		t.Fatalf("timer record: %+v, want token 4d", e)
	}
	if r := b.Records[2]; r.Event.Kind != policy.EvWithdrawn || r.Instance != 5 {
		t.Fatalf("withdrawal record: %+v, want a withdrawal for instance 5", r)
	}
}

// Guards against a record that gets a later list than the one its buffer held when the record was decoded, as a batch
// may fill a buffer twice. A list that could not be fetched must be marked as failed.
func TestListsResolveInEventOrder(t *testing.T) {
	list := func(ep string) string {
		return "0a 0000001d 00000000 00000001 01 " + ep + " 00 3f800000 01 0039 0000000000000000 "
	}
	targets := "01 0000000d 00000003 02 00000029 00000000 "
	body := decodeHex(t, list("03124a07")+targets+list("2c9011f2")+targets+"01 0000000d 00000003 03 00000029 00000000")
	frame := append(decodeHex(t, "00000005 000000"+hex.EncodeToString([]byte{byte(len(body))})+" 40c06e2000000000 00000001"), body...)
	b, err := NewDecoder(bytes.NewReader(frame)).Next()
	if err != nil {
		t.Fatal(err)
	}
	first, second := b.Records[0].Event, b.Records[1].Event
	if first.List[0].ID != 0x03124a07 || second.List[0].ID != 0x2c9011f2 || !first.FullList {
		t.Fatalf("lists %+v and %+v, want endpoint 03124a07 in the first, 2c9011f2 in the second, and the first full", first, second)
	}
	if first.List[0].Dest != 57 || first.List[0].Kind != 1 || first.List[0].Rating != 1 || first.List[0].State != policy.Ready {
		t.Fatalf("entry %+v, want destination 57, kind 1, rating 1, ready", first.List[0])
	}
	if !b.Records[2].Event.Failed {
		t.Fatal("a list that could not be fetched is not marked as failed")
	}
}

// Guards against an outcome that loses the requested wait, the attempt or the load report.
func TestDecodesReply(t *testing.T) {
	body := decodeHex(t, "04 00000025 00000003 000e7fcf5d3a91c4 03124a07 00000064 4032800000000000 02 000b 00 01 3f000000")
	frame := append(decodeHex(t, "00000001 0000002a 40c06e2000000000 00000001"), body...)
	b, err := NewDecoder(bytes.NewReader(frame)).Next()
	if err != nil {
		t.Fatal(err)
	}
	e := b.Records[0].Event
	if e.Outcome != policy.Full || e.RequestedWait != 100 || e.Attempt != 2 || e.Final || e.Latency != 18.5 || e.Report[0] != 0.5 {
		t.Fatalf("%+v", e)
	}
}

// Guards against a Reply that departs from the protocol's description.
func TestWritesExampleReply(t *testing.T) {
	var r Reply
	r.Reset()
	r.Add(3, []policy.Action{
		{Kind: policy.ActSend, ID: 0x000e7fcf5d3a91c4, Endpoint: 0x03124a07, After: 80},
		{Kind: policy.ActTimer, Token: 0x4d, After: 500},
		{Kind: policy.ActCloseIdle, Endpoint: 0x2c9011f2},
		{Kind: policy.ActProbe, Endpoint: 0x2c9011f2},
		{Kind: policy.ActSubscribe},
	})
	r.Add(5, []policy.Action{
		{Kind: policy.ActRefuse, ID: 0x00048f080e6f2b19, After: 240},
		{Kind: policy.ActFail, ID: 0x00048f080e6f2b19},
		{Kind: policy.ActLog, Text: "two servers known"},
	})
	r.Fault(3, "index out of range")
	var w bytes.Buffer
	if err := r.Write(&w, 12); err != nil {
		t.Fatal(err)
	}
	body := decodeHex(t, `00 00000018 00000003 000e7fcf5d3a91c4 03124a07 4054000000000000
		04 00000010 00000003 0000004d 407f400000000000
		06 00000008 00000003 2c9011f2   05 00000008 00000003 2c9011f2   0a 00000005 00000003 01
		01 00000014 00000005 00048f080e6f2b19 406e000000000000   02 0000000c 00000005 00048f080e6f2b19
		08 00000017 00000005 0011 74776f2073657276657273206b6e6f776e
		09 00000018 00000003 0012 696e646578206f7574206f662072616e6765`)
	want := append(decodeHex(t, "00000009 00000000 0000000c"), body...)
	want[7] = byte(len(body))
	if !bytes.Equal(w.Bytes(), want) {
		t.Fatalf("got\n%x\nwant\n%x", w.Bytes(), want)
	}
}

// Guards against an error on malformed input that does not say which batch, record or field it is about.
func TestErrorsNameBadField(t *testing.T) {
	for frame, want := range map[string]string{
		"00000001": "batch header",
		"00000001 00000010 40c06e2000000000 00000001":                               "batch 1: body of 16 bytes",
		"00000001 00000000 40c06e2000000000 00000001":                               "batch 1: record 0: header",
		"00000001 ffffffff 40c06e2000000000 00000001":                               "batch 1: body of 4294967295 bytes",
		"00000001 00000006 40c06e2000000000 00000007 02 000000ff 00":                "batch 7: record 0: length 255 overruns",
		"00000001 00000006 40c06e2000000000 00000007 02 00000001 00":                "batch 7: record 0 (code 2): sender",
		"00000001 0000000d 40c06e2000000000 00000007 0a 00000008 00000000 ffffffff": "elements",
		"00000000 00000001 40c06e2000000000 00000007 00":                            "after the last record",
		"00000000 00000000 7ff8000000000000 00000007":                               "clock",
	} {
		_, err := NewDecoder(bytes.NewReader(decodeHex(t, frame))).Next()
		if err == nil || err == io.EOF || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: got error %v, want one with %q", frame, err, want)
		}
	}
}

// Guards against a Decoder that rejects the records and fields that a later version of the protocol adds, and against
// an end of the input that is reported as an error other than io.EOF.
func TestSkipsUnknownCodesAndTrailingBytes(t *testing.T) {
	frame := decodeHex(t, "00000002 00000015 40c06e2000000000 00000001 63 00000001 00 06 0000000a 00000003 0000004d ffff")
	b, err := NewDecoder(bytes.NewReader(frame)).Next()
	if err != nil || len(b.Records) != 1 || b.Records[0].Event.Token != 0x4d {
		t.Fatalf("error %v, records %+v; want a single timer with token 4d", err, b.Records)
	}
	if _, err := NewDecoder(bytes.NewReader(nil)).Next(); err != io.EOF {
		t.Fatalf("end of input: error %v, want io.EOF", err)
	}
}

// Guards against settings of a start record that are read wrongly, and against missing, malformed or excessive values
// that are accepted. The error for a missing one must name it.
func TestParseSettings(t *testing.T) {
	s, err := config.ParseSettings(settings)
	if err != nil {
		t.Fatal(err)
	}
	if s.CallSlots != 14 || s.Classes[0].Effect != policy.Keyed || s.Classes[0].ZoneScope || s.LimitIndex != 1 ||
		s.Kinds[0].Batch != 20 || !s.Kinds[1].OwnLimits || s.Senders != 2 {
		t.Fatalf("%+v", s)
	}
	for _, drop := range []string{"family_info.call_slots=14\n", "services.0.deadline=20000.0\n", "services.0.effect=keyed\n"} {
		if _, err := config.ParseSettings(strings.Replace(settings, drop, "", 1)); err == nil ||
			!strings.Contains(err.Error(), strings.Split(drop, "=")[0]) {
			t.Errorf("without %q: got error %v, want one that names it", drop, err)
		}
	}
	if _, err := config.ParseSettings(strings.Replace(settings, "=8\n", "=eight\n", 1)); err == nil {
		t.Error("a malformed number is accepted")
	}
	if _, err := config.ParseSettings(strings.Replace(settings, "services.count=1", "services.count=1e9", 1)); err == nil {
		t.Error("an excessive count is accepted")
	}
}

// FuzzDecoder checks that no input makes the Decoder panic or run forever.
func FuzzDecoder(f *testing.F) {
	f.Add(decodeHex(f, exampleBatch))
	f.Add(decodeHex(f, "00000001 0000000d 40c06e2000000000 00000007 0a 00000008 00000000 ffffffff"))
	f.Fuzz(func(_ *testing.T, in []byte) {
		d := NewDecoder(bytes.NewReader(in))
		for {
			if _, err := d.Next(); err != nil {
				return
			}
		}
	})
}
