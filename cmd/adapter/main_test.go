package main

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"
)

const settings = "family_info.call_slots=4\nlimits.max_attempts=3\nlimits.most_held=50\nservices.count=1\n" +
	"services.0.deadline=10000\nservices.0.aim=2000\nservices.0.effect=safe\nservices.0.worth=1\n"

// record returns a record in the simulator's wire format.
func record(code byte, fields []byte) []byte {
	b := binary.BigEndian.AppendUint32([]byte{code}, uint32(len(fields)))
	return append(b, fields...)
}

// batch returns a batch of records in the simulator's wire format.
func batch(seq uint32, now float64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, uint32(len(records)))
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint64(b, math.Float64bits(now))
	b = binary.BigEndian.AppendUint32(b, seq)
	return append(b, body...)
}

// startRecord returns the record that starts an instance.
func startRecord(id uint32) []byte {
	fields := binary.BigEndian.AppendUint32(nil, id)
	fields = binary.BigEndian.AppendUint64(fields, 9)
	fields = binary.BigEndian.AppendUint32(fields, uint32(len(settings)))
	return record(0, append(fields, settings...))
}

// A batch whose body has fewer records than its header counts is an error; a batch without records has an empty reply.
func TestEmptyAndTruncatedBatch(t *testing.T) {
	var out bytes.Buffer
	if err := serve(bytes.NewReader(batch(1, 8412, []byte{}[:0])[:20]), &out); err == nil {
		t.Fatal("a batch that counts one record and has an empty body is accepted")
	}
	out.Reset()
	empty := batch(1, 8412)
	if err := serve(bytes.NewReader(empty), &out); err != nil {
		t.Fatal(err)
	}
	if want := []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1}; !bytes.Equal(out.Bytes(), want) {
		t.Fatalf("reply %x, want an empty one with sequence number 1", out.Bytes())
	}
}

// An instance that stops and starts again within a batch drops the events from before, and one that has stopped gives
// no reply.
func TestRestartWithinBatchDropsState(t *testing.T) {
	u32 := func(v uint32) []byte { return binary.BigEndian.AppendUint32(nil, v) }
	messageRecord := func(id uint64) []byte {
		fields := binary.BigEndian.AppendUint64(u32(3), id)
		fields = append(fields, make([]byte, 14)...)
		fields = binary.BigEndian.AppendUint64(fields, math.Float64bits(0)) // no time left
		fields = append(fields, make([]byte, 14)...)
		return record(2, fields)
	}
	in := append(batch(1, 10, startRecord(3)),
		batch(2, 20, messageRecord(5), record(9, u32(3)), startRecord(3), messageRecord(6))...)
	in = append(in, batch(3, 30, messageRecord(7), record(9, u32(3)))...)
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	id := func(v uint64) []byte { return binary.BigEndian.AppendUint64(nil, v) }
	if bytes.Contains(out.Bytes(), id(5)) || !bytes.Contains(out.Bytes(), id(6)) ||
		bytes.Contains(out.Bytes(), id(7)) {
		t.Fatalf("replies %x, want an answer to message 6 and none to 5 and 7", out.Bytes())
	}
}

// A record that ends within its first field is an error that names batch, record, code and field, so that the record
// can be found in the input.
func TestErrorNamesBatchAndRecord(t *testing.T) {
	in := batch(4, 10, record(2, []byte{0}))
	err := serve(bytes.NewReader(in), &bytes.Buffer{})
	if err == nil || !strings.Contains(err.Error(), "batch 4: record 0 (code 2): sender") {
		t.Fatalf("error %v, want one that names batch 4, record 0, its code and the field", err)
	}
}
