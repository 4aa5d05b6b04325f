// Command fleet starts three senders of one fleet on loopback, and simulates their surroundings: discovery with one
// partner, which is down for ten seconds of every thirty, and a client that submits messages. It prints what happens to
// the fleet's duties. Ctrl-C stops everything.
//
//	make fleet
//
// With -lose the senders copy the messages that they accept. One sender is killed and its state directory removed while
// the partner is down. Later the partner returns and the load stops; the example waits up to 20 seconds for the
// remaining final answers, reports how many messages were accepted and how many of these have no final answer, and
// exits.
//
//	make copies
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const dest = 7 // number of the partner's destination

func main() {
	lose := flag.Bool("lose", false,
		"kill a sender, remove its state directory, and count the messages without a final answer")
	flag.Parse()
	dir, err := os.MkdirTemp("", "sliptide-fleet")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	var down atomic.Bool
	go func() { log.Fatal(http.ListenAndServe("127.0.0.1:9100", partner(&down))) }()
	go func() { log.Fatal(http.ListenAndServe("127.0.0.1:8500", discovery())) }()
	operator := filepath.Join("example", "fleet", "sliptide.xml")
	if *lose {
		operator = filepath.Join("example", "fleet", "copies.xml")
	}
	var senders []*exec.Cmd
	for i := range 3 {
		senders = append(senders, startSender(dir, operator, i))
	}
	interrupts := make(chan os.Signal, 1)
	signal.Notify(interrupts, os.Interrupt)
	go sendMessages()
	if *lose {
		go loseSender(senders[2], filepath.Join(dir, "n2"), &down, interrupts)
	} else {
		go repeatOutages(&down)
	}
	fmt.Printf("status:  bin/sliptide fleet status --operator %s\n         bin/sliptide fleet duties --operator %s\n",
		operator, operator)
	fmt.Println("process IDs, to kill a sender:", senders[0].Process.Pid, senders[1].Process.Pid, senders[2].Process.Pid)
	<-interrupts
	for _, s := range senders {
		s.Process.Signal(os.Interrupt)
	}
	for _, s := range senders {
		s.Wait()
	}
}

// startSender starts sender i with a configuration derived from example/config.json.
func startSender(dir, operator string, i int) *exec.Cmd {
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		log.Fatal("read the configuration (run the example from the root of the repository): ", err)
	}
	var config map[string]any
	if err := json.Unmarshal(text, &config); err != nil {
		log.Fatal(err)
	}
	name := fmt.Sprint("n", i)
	config["name"], config["listen"], config["admin"] = name, fmt.Sprint("127.0.0.1:", 9000+i), ""
	config["settings"].(map[string]any)["balancers"] = 3
	text, _ = json.Marshal(config)
	state := filepath.Join(dir, name)
	path := filepath.Join(dir, name+".json")
	if err := os.Mkdir(state, 0o700); err != nil {
		log.Fatal(err)
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		log.Fatal(err)
	}
	c := exec.Command("bin/sliptide", "run", "--operator", operator)
	c.Env = append(os.Environ(), "RELAY_CONFIG="+path, "RELAY_STATE="+state)
	c.Stderr = &fleetLog{name: name}
	if err := c.Start(); err != nil {
		log.Fatal("start the sender (run make build first): ", err)
	}
	return c
}

// fleetLog prints the lines of a sender's log about the fleet and the copies, except those about links.
type fleetLog struct {
	name     string
	buffered []byte
}

// Write implements io.Writer.
func (l *fleetLog) Write(b []byte) (int, error) {
	l.buffered = append(l.buffered, b...)
	for {
		line, rest, found := bytes.Cut(l.buffered, []byte{'\n'})
		if !found {
			return len(b), nil
		}
		l.buffered = rest
		var record struct{ Message, Duty string }
		if json.Unmarshal(line, &record) == nil &&
			(strings.HasPrefix(record.Message, "fleet: ") || strings.HasPrefix(record.Message, "copies: ")) &&
			!strings.Contains(record.Message, "link") {
			log.Printf("%s %s %s", l.name, record.Message, record.Duty)
		}
	}
}

// partner answers messages with 200 and records them, or with 503 while down is set.
func partner(down *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		messages.add(messages.ended, r.Header.Get("X-Trace-Id"))
	})
}

// outcomes records which messages were accepted and which have a final answer, by trace ID. Its mutex guards the maps.
type outcomes struct {
	sync.Mutex
	accepted, ended map[string]bool
}

var messages = outcomes{accepted: map[string]bool{}, ended: map[string]bool{}}

func (o *outcomes) add(ids map[string]bool, id string) {
	o.Lock()
	defer o.Unlock()
	ids[id] = true
}

// count returns the number of accepted messages, and of those without a final answer.
func (o *outcomes) count() (accepted, unanswered int) {
	o.Lock()
	defer o.Unlock()
	for id := range o.accepted {
		if !o.ended[id] {
			unanswered++
		}
	}
	return len(o.accepted), unanswered
}

// loseSender simulates the loss of a machine that holds messages, and reports how many messages have no final answer.
func loseSender(sender *exec.Cmd, stateDir string, down *atomic.Bool, interrupts chan<- os.Signal) {
	time.Sleep(8 * time.Second)
	down.Store(true)
	time.Sleep(3 * time.Second)
	sender.Process.Kill()
	sender.Wait()
	if err := os.RemoveAll(stateDir); err != nil {
		log.Print(err)
	}
	accepted, unanswered := messages.count()
	log.Printf("n2 was killed and its state directory removed; %d messages accepted so far, %d of them without a final answer",
		accepted, unanswered)
	time.Sleep(time.Second)
	down.Store(false)
	log.Print("the partner is back")
	time.Sleep(6 * time.Second)
	loadStopped.Store(true)
	for range 200 {
		if accepted, unanswered = messages.count(); unanswered == 0 {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	log.Printf("%d messages accepted, %d without a final answer", accepted, unanswered)
	interrupts <- os.Interrupt
}

// loadStopped stops sendMessages.
var loadStopped atomic.Bool

// repeatOutages takes the partner down for ten seconds of every thirty.
func repeatOutages(down *atomic.Bool) {
	for {
		time.Sleep(20 * time.Second)
		log.Print("the partner is down")
		down.Store(true)
		time.Sleep(10 * time.Second)
		log.Print("the partner is back")
		down.Store(false)
	}
}

// discovery serves a list with one partner that never changes, and records the final answers in the senders' notices.
func discovery() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			for lines := bufio.NewScanner(r.Body); lines.Scan(); {
				var notice struct{ Message string }
				if json.Unmarshal(lines.Bytes(), &notice) == nil {
					messages.add(messages.ended, notice.Message)
				}
			}
			w.WriteHeader(http.StatusNoContent)
		case r.FormValue("index") == "1":
			wait, _ := time.ParseDuration(r.FormValue("wait") + "ms")
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
			fmt.Fprint(w, `{"version":1,"full":false,"servers":[]}`)
		default:
			fmt.Fprintf(w, `{"version":1,"full":true,"servers":[{"id":"s-1","addr":"127.0.0.1:9100","zone":"a","kind":"partner","cell":%d,"state":"up","weight":1.0,"started_ms":0}]}`, dest)
		}
	})
}

// sendMessages submits ten messages a second, to the senders in turn.
func sendMessages() {
	for n := 0; !loadStopped.Load(); n++ {
		time.Sleep(100 * time.Millisecond)
		req, err := http.NewRequest("POST", fmt.Sprintf("http://127.0.0.1:%d/api", 9000+n%3),
			strings.NewReader("two guests, one night"))
		if err != nil {
			log.Fatal(err)
		}
		for k, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("%016x", n), "X-Qos": "booking-msg",
			"X-Customer":   "savanna-trails",
			"X-Expires-In": "20", "Idempotency-Key": fmt.Sprint("k", n), "X-Route-To": fmt.Sprint("dest=", dest)} {
			req.Header.Set(k, v)
		}
		if resp, err := http.DefaultClient.Do(req); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusAccepted {
				messages.add(messages.accepted, fmt.Sprintf("%016x", n))
			}
		}
	}
}
