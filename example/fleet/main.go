// Command fleet starts three senders of one fleet on loopback, with a toy of the world round them: discovery with one
// partner, which is down for ten seconds of each half minute, and a client that hands in messages. It prints what the
// fleet's duties do; Ctrl-C ends all of it.
//
//	make fleet
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

const dest = 7

func main() {
	dir, err := os.MkdirTemp("", "sliptide-fleet")
	if err != nil {
		log.Fatal(err)
	}
	defer os.RemoveAll(dir)
	var down atomic.Bool
	go func() { log.Fatal(http.ListenAndServe("127.0.0.1:9100", partner(&down))) }()
	go func() { log.Fatal(http.ListenAndServe("127.0.0.1:8500", discovery())) }()
	operator := filepath.Join("example", "fleet", "sliptide.xml")
	var senders []*exec.Cmd
	for i := range 3 {
		senders = append(senders, start(dir, operator, i))
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, os.Interrupt)
	go load()
	go outages(&down)
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
func start(dir, operator string, i int) *exec.Cmd {
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
	c.Stderr = &duties{name: name}
	if err := c.Start(); err != nil {
		log.Fatal("make build first: ", err)
	}
	return c
}

// duties prints the lines of a sender's log that tell of the fleet.
type duties struct {
	name string
	rest []byte
}

// Write implements io.Writer.
func (d *duties) Write(b []byte) (int, error) {
	d.rest = append(d.rest, b...)
	for {
		line, rest, whole := bytes.Cut(d.rest, []byte{'\n'})
		if !whole {
			return len(b), nil
		}
		d.rest = rest
		var l struct{ Message, Duty string }
		if json.Unmarshal(line, &l) == nil && strings.HasPrefix(l.Message, "fleet: ") && !strings.Contains(l.Message, "link") {
			log.Printf("%s %s %s", d.name, l.Message, l.Duty)
		}
	}
}

func partner(down *atomic.Bool) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(io.Discard, r.Body)
		if down.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
}

func outages(down *atomic.Bool) {
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
			io.Copy(io.Discard, r.Body)
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
func load() {
	for n := 0; ; n++ {
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
		}
	}
}
