package event

import (
	"io"
	"sync/atomic"
	"time"
)

// maxPending is how many lines wait for a reader: some seconds of a busy process.
const maxPending = 4096

// gatherTime is how long a line waits for others. Waking up and writing cost several
// times as much as a line itself; what is lost with a killed process is this much.
const gatherTime = 50 * time.Millisecond

// maxBatch is how much is written at once, bytes.
const maxBatch = 8 << 10

// Bounded is a writer that never blocks: lines wait for a goroutine that writes
// them, and are dropped and counted while too many do.
type Bounded struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// NewBounded returns a writer before another one. It runs until Close.
func NewBounded(out io.Writer) *Bounded {
	b := &Bounded{out: out, lines: make(chan []byte, maxPending), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes in one line. It never fails.
func (b *Bounded) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped since it was last asked.
func (b *Bounded) Dropped() int64 { return b.dropped.Swap(0) }

// Close writes what waits and ends the writer; no line may come after it.
func (b *Bounded) Close() {
	close(b.lines)
	<-b.done
}

func (b *Bounded) run() {
	defer close(b.done)
	var batch []byte
	for line := range b.lines {
		batch = append(batch[:0], line...)
		if len(b.lines) == 0 {
			time.Sleep(gatherTime)
		}
		batch = b.gather(batch)
		// There is nowhere to tell that the log's own reader has gone.
		_, _ = b.out.Write(batch)
	}
}

// gather adds the lines that wait already, so that a burst of them is one write.
func (b *Bounded) gather(batch []byte) []byte {
	for len(batch) < maxBatch {
		select {
		case line, open := <-b.lines:
			if !open {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}
