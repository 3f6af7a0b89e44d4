// Package demo replays a recorded trace with an overload and a crash in it through
// a small system in one process, and prints a report.
package demo

import (
	"context"
	"embed"
	"fmt"
	"io"
	"io/fs"
	"sync"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/serve/local"
	"github.com/chicoryrock/chicoryrock/internal/standin/engine"
	"github.com/chicoryrock/chicoryrock/internal/standin/loader"
	"github.com/chicoryrock/chicoryrock/internal/state/object"
)

//go:embed testdata
var files embed.FS

const (
	entryCount  = 2
	engineCount = 4
	engineSlots = 8
	poolName    = "garland"
	// tokenTime and prefillTime are the engines' speed at full batch.
	tokenTime   = 10 * time.Millisecond
	prefillTime = 100 * time.Microsecond
	// crashAt is when one engine crashes, and crashTime how long it stays away.
	crashAt   = 6 * time.Second
	crashTime = 2 * time.Second
	// progressInterval is how often the demonstration says how far it is.
	progressInterval = time.Second
	// callTimeout is the longest wait for one answer.
	callTimeout = 15 * time.Second
)

var secrets = map[string]string{
	"hawkers":  "demo-hawkers",
	"trolleys": "demo-trolleys",
	"depot":    "demo-depot",
}

// Run runs the demonstration and writes its progress and report.
func Run(ctx context.Context, out io.Writer) error {
	calls, err := readTrace()
	if err != nil {
		return err
	}
	set, err := readSet()
	if err != nil {
		return err
	}
	sayf(out, "starting %d entries, %d agents with their engines, store and list of VMs on loopback\n", entryCount, engineCount)
	system := newSystem(set)
	defer system.Close()
	if err := system.Start(ctx); err != nil {
		return err
	}
	sayf(out, "replaying %d calls; the burst begins at 3.5 s, a backend server crashes at %s\n", len(calls), crashAt)
	book := newBook(system)
	begin := time.Now()
	if err := replay(ctx, out, system, calls, book); err != nil {
		return err
	}
	book.write(out, time.Since(begin))
	return book.explain(out, system)
}

func newSystem(set *object.Set) *local.System {
	return &local.System{
		Centres: []local.Centre{
			{Name: "jamalpur", Region: "ahmedabad", Entries: 1, Engines: engineCount / 2},
			{Name: "kalupur", Region: "ahmedabad", Entries: 1, Engines: engineCount / 2},
		},
		Set:     set,
		Pool:    poolName,
		Slots:   engineSlots,
		Token:   tokenTime,
		Prefill: prefillTime,
	}
}

func readSet() (*object.Set, error) {
	folder, err := fs.Sub(files, "testdata")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	declared, faults := object.Load(folder)
	if len(faults) > 0 {
		return nil, errors.Wrap(chicoryrock.ErrInvalid, faults[0].Text)
	}
	return declared.Set, nil
}

func readTrace() ([]loader.Call, error) {
	file, err := files.Open("testdata/trace.jsonl")
	if err != nil {
		return nil, errors.WithStack(err)
	}
	defer func() { _ = file.Close() }()
	return loader.Read(file)
}

// replay sends every other call to another entry, as a balancer would, and lets
// one engine crash in the middle of the burst.
func replay(ctx context.Context, out io.Writer, system *local.System, calls []loader.Call, book *book) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	crash := time.AfterFunc(crashAt, func() {
		system.Engines[0].Switch(engine.Switches{Crash: crashTime})
		book.note(fmt.Sprintf("backend-1 crashes and is away for %s", crashTime))
	})
	defer crash.Stop()
	progress, stopProgress := context.WithCancel(ctx)
	var reporting sync.WaitGroup
	reporting.Go(func() { book.progress(progress, out) })
	defer reporting.Wait()
	defer stopProgress()
	group, ctx := errgroup.WithContext(ctx)
	for i, address := range system.Callers {
		load := &loader.Loader{
			Name:    fmt.Sprintf("demo-%d", i),
			Calls:   everyNth(calls, i, len(system.Callers)),
			Keys:    secrets,
			Target:  address,
			Timeout: callTimeout,
			Seen:    book.add,
		}
		group.Go(func() error {
			_, err := load.Run(ctx)
			return err
		})
	}
	return group.Wait()
}

func everyNth(calls []loader.Call, first, step int) []loader.Call {
	var part []loader.Call
	for i := first; i < len(calls); i += step {
		part = append(part, calls[i])
	}
	return part
}

// sayf writes to the terminal, which may have been closed by its owner.
func sayf(out io.Writer, format string, values ...any) {
	_, _ = fmt.Fprintf(out, format, values...)
}
