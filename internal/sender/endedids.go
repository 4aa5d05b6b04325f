package sender

// endedIDs remembers the IDs of recently ended messages, so that they are refused if they are submitted once more.
type endedIDs struct {
	ids   map[string]bool
	queue []endedID // oldest first
}

type endedID struct {
	trace   string
	endedAt float64
}

// add remembers an ID and forgets those that are too old or too many. now is in milliseconds.
func (e *endedIDs) add(trace string, now float64) {
	for len(e.queue) > 0 && (len(e.queue) >= maxEndedIDs || now-e.queue[0].endedAt > endedIDRetentionMS) {
		delete(e.ids, e.queue[0].trace)
		e.queue = e.queue[1:]
	}
	e.ids[trace] = true
	e.queue = append(e.queue, endedID{trace, now})
}
