package origin_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

// A record may be written anew only where no write of it can still be carried out, and that is
// worth waiting for only where the open one may be acknowledged.
func TestRecordMovesWhileNoWriteIsOpen(t *testing.T) {
	key := origin.KeyOf("w", "r")
	save := func(b *origin.Book) { b.Saved(b.Unsaved(start, 9)) }
	again := func(b *origin.Book) { b.Send(start, key, v1, v1, origin.Attempt{Server: "b"}) }
	cases := []struct {
		name         string
		before       []func(b *origin.Book)
		moves, later bool
	}{
		{"not written yet", nil, false, true},
		{"written", []func(*origin.Book){save}, true, true},
		{"being written", []func(*origin.Book){func(b *origin.Book) { b.Unsaved(start, 9) }}, false, true},
		{"a write has failed, the next one has not", []func(*origin.Book){func(b *origin.Book) { b.Unsaved(start, 9) }, save}, false, false},
		{"a write has failed, the next one is open", []func(*origin.Book){func(b *origin.Book) { b.Unsaved(start, 9) }, func(b *origin.Book) { b.Unsaved(start, 9) }}, false, false},
		{"another attempt isn't written yet", []func(*origin.Book){save, again}, false, true},
		{"another attempt is written", []func(*origin.Book){save, again, save}, true, true},
		{"the store has come back", []func(*origin.Book){save, func(b *origin.Book) { b.Restored(start) }}, false, true},
		{"it moves already", []func(*origin.Book){save, func(b *origin.Book) { b.StartMove(key) }}, false, false},
		{"its stream has begun", []func(*origin.Book){save, func(b *origin.Book) { b.Begin(start, key, v1, origin.Attempt{Server: "a"}) }}, false, false},
	}
	for _, c := range cases {
		book := known(start)
		book.Send(start, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
		for _, step := range c.before {
			step(book)
		}
		require.Equal(t, c.later, book.MayMoveLater(key), c.name)
		require.Equal(t, c.moves, book.StartMove(key), c.name)
	}
}

// While a record moves it isn't written otherwise, and a move counts only if the store has not
// come back meanwhile.
func TestMovedRecordNamesItsAttempt(t *testing.T) {
	key, second := origin.KeyOf("w", "r"), origin.Attempt{Server: "b"}
	for _, restored := range []bool{false, true} {
		book := known(start)
		book.Send(start, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
		book.Saved(book.Unsaved(start, 9))
		require.True(t, book.StartMove(key))
		book.Send(start, key, v1, v1, origin.Attempt{Server: "c"}) // which has the record changed
		if restored {
			book.Restored(start)
		}
		require.Empty(t, book.Unsaved(start, 9))
		require.Equal(t, !restored, book.Moved(&origin.Record{Key: key, Software: v2, Attempts: []origin.Attempt{second}}))
		require.False(t, book.Moved(&origin.Record{Key: key, Software: v1}), "none is under way")
		if found, _ := book.Find(start, key); !restored {
			require.Equal(t, v2, found.Software)
			require.Equal(t, []origin.Attempt{second}, found.Attempts)
		}
	}
}

// A write that has failed is tried again, once for each pass, and so is one for news of the stream.
func TestRecordIsWrittenUntilItIsAcknowledged(t *testing.T) {
	key := origin.KeyOf("w", "r")
	news := map[string]func(b *origin.Book){
		"another attempt": func(b *origin.Book) { b.Send(start, key, v1, v1, origin.Attempt{Server: "b"}) },
		"a mark":          func(b *origin.Book) { b.Mix(start, key, v1) },
		"a store that has come back, and another attempt": func(b *origin.Book) {
			b.Restored(start)
			b.Send(start, key, v1, v1, origin.Attempt{Server: "b"})
		},
	}
	for name, news := range news {
		book := known(start)
		book.Send(start, key, v1, origin.Software{}, origin.Attempt{Server: "a"})
		book.Saved(book.Unsaved(start, 9))
		require.Empty(t, book.Unsaved(start, 9), name)
		news(book)
		for range 2 { // the first write fails
			require.Len(t, book.Unsaved(start, 9), 1, name)
		}
		book.Saved(book.Unsaved(start, 9))
		require.Empty(t, book.Unsaved(start, 9), name)
	}
}

// Of many attempts the latest ones are kept.
func TestRecordNamesTheLatestAttempts(t *testing.T) {
	book, key := known(start), origin.KeyOf("w", "r")
	var want []origin.Attempt
	for n := range 11 {
		attempt := origin.Attempt{Server: fmt.Sprint(n)}
		book.Send(start, key, v1, origin.Software{}, attempt)
		if n >= 3 {
			want = append(want, attempt)
		}
	}
	require.Equal(t, want, book.Unsaved(start, 9)[0].Attempts)
}

// Guards against a stream that isn't taken up as a server at which it has not begun is doubted.
func TestRecordNamesTheAttemptThatBeganItsStream(t *testing.T) {
	v1, v2 := origin.Software{Service: "s", Version: "v1"}, origin.Software{Service: "s", Version: "v2"}
	first, second := origin.Attempt{Server: "a", StartedMs: 5}, origin.Attempt{Server: "b", StartedMs: 6}
	cases := []struct {
		name     string
		handed   bool // the record is handed out after the first attempt
		software origin.Software
		sent     []origin.Attempt // as the record has them before the stream begins
	}{
		{"not noted", false, v1, []origin.Attempt{first}},
		{"at other software", false, v2, []origin.Attempt{second}},
		{"at the same software", false, v1, []origin.Attempt{first, second}},
		{"at the same software, recorded", true, v1, []origin.Attempt{first, second}},
	}
	for _, c := range cases {
		book := known(start)
		key := origin.KeyOf("w", "r")
		book.Send(start, key, v1, origin.Software{}, first)
		if c.handed {
			book.Saved(book.Unsaved(start, 9))
		}
		if c.name != "not noted" {
			require.Equal(t, c.software, book.Send(start, key, c.software, v1, second), c.name)
		}
		records := book.Unsaved(start, 9)
		require.Len(t, records, 1, c.name)
		require.Equal(t, c.sent, records[0].Attempts, c.name)
		book.Saved(records)
		book.Begin(start, key, c.software, second)
		found, _ := book.Find(start, key)
		require.Equal(t, []origin.Attempt{second}, found.Attempts, c.name)
		rewritten := book.Unsaved(start, 9)
		if c.sent[0] == second {
			require.Empty(t, rewritten, c.name)
			continue
		}
		require.Len(t, rewritten, 1, c.name)
		require.Equal(t, found, rewritten[0], c.name)
	}
}

// What is known of an attempt's start is told from what isn't.
func TestAttemptsAndStarts(t *testing.T) {
	cases := []struct {
		attempt      origin.Attempt
		startedMs    int64
		sent, before bool
	}{
		{origin.Attempt{StartedMs: 5000, SentMs: 10000}, 5000, true, false},
		{origin.Attempt{StartedMs: 5000, SentMs: 10000}, 9000, false, false},
		{origin.Attempt{StartedMs: 5000, SentMs: 10000}, 11000, false, false}, // by a clock that differs
		{origin.Attempt{StartedMs: 5000, SentMs: 10000}, 11001, false, true},
		{origin.Attempt{StartedMs: 5000, SentMs: 10000}, 0, false, false},
		{origin.Attempt{SentMs: 10000}, 0, false, false},
		{origin.Attempt{SentMs: 10000}, 9000, false, false},
	}
	for _, c := range cases {
		require.Equal(t, c.sent, c.attempt.SentTo(c.startedMs), c)
		require.Equal(t, c.before, c.attempt.Before(c.startedMs), c)
	}
}
