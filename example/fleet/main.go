// Command fleet starts three senders of one fleet on loopback, with a toy of the world round them: discovery with one
// partner, which is down for ten seconds of each half minute, and a client that hands in messages. It prints what the
// fleet's duties do; Ctrl-C ends all of it.
//
//	make fleet
//
// With -lose the senders copy what they take on. One of them is killed, and its folder removed, while the partner is down;
// when the time of all is over, the example counts what was taken on and what became of it, and ends.
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

const dest = 7

func main() {
	losesSender := flag.Bool("lose", false, "kill a sender and remove its folder, and count what became of its messages")
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
	if *losesSender {
		operator = filepath.Join("example", "fleet", "copies.xml")
	}
	var senders []*exec.Cmd
	for i := range 3 {
		senders = append(senders, startSender(dir, operator, i))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	go sendMessages()
	if *losesSender {
		go loseSender(senders[2], filepath.Join(dir, "n2"), &down, stop)
	} else {
		go repeatOutages(&down)
	}
	fmt.Printf("ask it:  bin/sliptide fleet status --operator %s\n         bin/sliptide fleet duties --operator %s\n", operator, operator)
	fmt.Println("kill one: the pids are", senders[0].Process.Pid, senders[1].Process.Pid, senders[2].Process.Pid)
	<-stop
	for _, s := range senders {
		s.Process.Signal(os.Interrupt)
	}
	for _, s := range senders {
		s.Wait()
	}
}

// start starts sender i with a configuration made from the example's.
func startSender(dir, operator string, i int) *exec.Cmd {
	text, err := os.ReadFile("example/config.json")
	if err != nil {
		log.Fatal("start it from the root of the repository: ", err)
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
		log.Fatal("make build first: ", err)
	}
	return c
}

// duties prints the lines of a sender's log that tell of the fleet.
type fleetLog struct {
	name     string
	buffered []byte
}

// Write implements io.Writer.
func (d *fleetLog) Write(b []byte) (int, error) {
	d.buffered = append(d.buffered, b...)
	for {
		line, rest, found := bytes.Cut(d.buffered, []byte{'\n'})
		if !found {
			return len(b), nil
		}
		d.buffered = rest
		var l struct{ Message, Duty string }
		if json.Unmarshal(line, &l) == nil && (strings.HasPrefix(l.Message, "fleet: ") || strings.HasPrefix(l.Message, "copies: ")) && !strings.Contains(l.Message, "link") {
			log.Printf("%s %s %s", d.name, l.Message, l.Duty)
		}
	}
}

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

// ledger is what became of each message.
type outcomes struct {
	sync.Mutex
	accepted, ended map[string]bool
}

var messages = outcomes{accepted: map[string]bool{}, ended: map[string]bool{}}

func (l *outcomes) add(ids map[string]bool, id string) {
	l.Lock()
	defer l.Unlock()
	ids[id] = true
}

// count is how many were taken on, and how many of these have no final answer.
func (l *outcomes) count() (accepted, unanswered int) {
	l.Lock()
	defer l.Unlock()
	for id := range l.accepted {
		if !l.ended[id] {
			unanswered++
		}
	}
	return len(l.accepted), unanswered
}

// loss loses a machine while it holds messages, and tells what became of them.
func loseSender(sender *exec.Cmd, stateDir string, down *atomic.Bool, stop chan<- os.Signal) {
	time.Sleep(8 * time.Second)
	down.Store(true)
	time.Sleep(3 * time.Second)
	sender.Process.Kill()
	sender.Wait()
	if err := os.RemoveAll(stateDir); err != nil {
		log.Print(err)
	}
	accepted, unanswered := messages.count()
	log.Printf("n2 is killed and its folder removed; %d messages were taken on so far, %d of them have no final answer yet", accepted, unanswered)
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
	log.Printf("%d messages were taken on, %d have no final answer", accepted, unanswered)
	stop <- os.Interrupt
}

// quiet ends the load.
var loadStopped atomic.Bool

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

func discovery() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		switch {
		case r.Method == http.MethodPost:
			for lines := bufio.NewScanner(r.Body); lines.Scan(); {
				var n struct{ Message string }
				if json.Unmarshal(lines.Bytes(), &n) == nil {
					messages.add(messages.ended, n.Message)
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

// load hands in ten messages a second, to the senders in turn.
func sendMessages() {
	for n := 0; !loadStopped.Load(); n++ {
		time.Sleep(100 * time.Millisecond)
		q, err := http.NewRequest("POST", fmt.Sprintf("http://127.0.0.1:%d/api", 9000+n%3), strings.NewReader("two guests, one night"))
		if err != nil {
			log.Fatal(err)
		}
		for k, v := range map[string]string{"X-Trace-Id": fmt.Sprintf("%016x", n), "X-Qos": "booking-msg", "X-Customer": "savanna-trails",
			"X-Expires-In": "20", "Idempotency-Key": fmt.Sprint("k", n), "X-Route-To": fmt.Sprint("dest=", dest)} {
			q.Header.Set(k, v)
		}
		if resp, err := http.DefaultClient.Do(q); err == nil {
			io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
			if resp.StatusCode == http.StatusAccepted {
				messages.add(messages.accepted, fmt.Sprintf("%016x", n))
			}
		}
	}
}
