// Command toy simulates the surroundings of one sender in a short program: a discovery agent with a single partner in
// its list, and that partner, which prints the messages that it receives.
//
//	go run ./example/toy              answers every message with 200
//	go run ./example/toy -answer 500  fails every message
package main

import (
	"flag"
	"fmt"
	"io"
	"log"
	"net/http"
	"time"
)

func main() {
	discovery := flag.String("discovery", "127.0.0.1:8500", "address of the discovery agent")
	partner := flag.String("partner", "127.0.0.1:9100", "address of the partner")
	dest := flag.Int("dest", 7, "number of the partner's destination")
	answer := flag.Int("answer", 200, "HTTP status of the partner's answers")
	flag.Parse()

	inbox := http.NewServeMux()
	inbox.HandleFunc("POST /inbox", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		log.Printf("partner: message %s, %q: answered %d", r.Header.Get("X-Trace-Id"), body, *answer)
		w.WriteHeader(*answer)
	})
	go func() { log.Fatal(http.ListenAndServe(*partner, inbox)) }()

	agent := http.NewServeMux()
	agent.HandleFunc("GET /discovery/hosts", func(w http.ResponseWriter, r *http.Request) {
		const version = 1
		if r.FormValue("index") == fmt.Sprint(version) { // a watch: the list never changes
			wait, _ := time.ParseDuration(r.FormValue("wait") + "ms")
			select {
			case <-time.After(wait):
			case <-r.Context().Done():
			}
			fmt.Fprintf(w, `{"version":%d,"full":false,"servers":[]}`, version)
			return
		}
		fmt.Fprintf(w, `{"version":%d,"full":true,"servers":[{"id":"s-1","addr":%q,"zone":"a",`+
			`"kind":"partner","cell":%d,"state":"up","weight":1.0,"started_ms":0}]}`, version, *partner, *dest)
	})
	agent.HandleFunc("POST /v1/outcomes", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		log.Printf("platform: notice %s", body)
		w.WriteHeader(http.StatusNoContent)
	})
	log.Printf("discovery on %s, partner of destination %d on %s", *discovery, *dest, *partner)
	log.Fatal(http.ListenAndServe(*discovery, agent))
}
