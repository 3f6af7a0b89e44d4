package origin_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock/internal/state/origin"
)

var (
	v1 = origin.Software{Service: "s", Version: "v1"}
	v2 = origin.Software{Service: "s", Version: "v2"}
)

// known returns a book of a process that lists servers of v1 and has read a register with
// both versions.
func known(now time.Time) *origin.Book {
	book := &origin.Book{}
	book.SetListed(now, []origin.Software{v1})
	book.SetRegister(now, origin.Register{Services: map[string][]string{"s": {"v1", "v2"}}}, 0)
	return book
}

// Streams begin only at versions that the register certainly still has.
func TestVersionsAtWhichStreamsMayBegin(t *testing.T) {
	cases := []struct {
		name   string
		change func(book *origin.Book)
		begins []origin.Software
	}{
		{"as read", func(*origin.Book) {}, []origin.Software{v1}},
		{"a version comes that the register had", func(book *origin.Book) {
			book.SetListed(start, []origin.Software{v1, v2})
		}, []origin.Software{v1}},
		{"one left and comes back: others may have dropped it", func(book *origin.Book) {
			book.SetListed(start, []origin.Software{v2})
			book.SetListed(start, []origin.Software{v1})
		}, nil},
		{"the list was lost for a moment", func(book *origin.Book) {
			book.ListLost(start)
			book.ListHeard(start.Add(time.Second))
		}, []origin.Software{v1}},
		{"the list was lost for long", func(book *origin.Book) {
			book.ListLost(start)
			book.ListLost(start.Add(origin.Retention / 2))
			book.ListHeard(start.Add(origin.Retention / 2))
		}, nil},
		{"a peer may begin at another version that is listed", func(book *origin.Book) {
			book.SetListed(start, []origin.Software{v1, v2})
			book.Hear(origin.Register{Services: map[string][]string{"s": {"v2"}, "other": {"v1"}}})
		}, []origin.Software{v1, v2}},
		{"a peer says so of another era", func(book *origin.Book) {
			book.SetListed(start, []origin.Software{v1, v2})
			book.Hear(origin.Register{Era: 1, Services: map[string][]string{"s": {"v2"}}})
		}, []origin.Software{v1}},
	}
	for _, c := range cases {
		book := known(start)
		c.change(book)
		var begins []origin.Software
		for _, software := range []origin.Software{v1, v2} {
			if book.MayBegin(software) {
				begins = append(begins, software)
			}
		}
		require.Equal(t, c.begins, begins, c.name)
	}
}

// A version is dropped only by a process that has followed the list for minutes without a
// server of it.
func TestWhenAVersionIsDropped(t *testing.T) {
	cases := []struct {
		name   string
		change func(book *origin.Book) // in the middle of that time
		drops  bool
	}{
		{"no server of it", func(*origin.Book) {}, true},
		{"a server of it now", func(book *origin.Book) { book.SetListed(start, []origin.Software{v1, v2}) }, false},
		{"the list was lost", func(book *origin.Book) {
			book.ListLost(start.Add(time.Minute))
			book.ListHeard(start.Add(time.Minute + time.Second))
		}, false},
		{"the list is lost", func(book *origin.Book) { book.ListLost(start.Add(time.Minute)) }, false},
		{"the store has come back from a copy", func(book *origin.Book) {
			book.SetRegister(start.Add(time.Minute), origin.Register{Era: 1, Services: map[string][]string{"s": {"v1", "v2"}}}, 1)
		}, false},
	}
	for _, c := range cases {
		book := known(start)
		c.change(book)
		now := start.Add(origin.Retention)
		era := book.Begins().Era
		next, _ := book.Amend(now, origin.Register{Era: era, Services: map[string][]string{"s": {"v1", "v2"}}}, era)
		require.Equal(t, !c.drops, next.Has(v2), c.name)
	}
	// One that has read no list yet knows of no servers at all.
	book := &origin.Book{}
	stored := origin.Register{Services: map[string][]string{"s": {"v1"}}}
	book.SetRegister(start, stored, 0)
	require.False(t, book.Incomplete(start.Add(origin.Retention), 0))
}

// A register names an only version where there is one and it has a name.
func TestOnlyVersion(t *testing.T) {
	cases := []struct {
		services map[string][]string
		model    string
		only     string
		single   bool
	}{
		{nil, "", "", false},
		{map[string][]string{"s": {"v1"}}, "", "v1", true},
		{map[string][]string{"s": {"v1"}, "other": {"v2"}}, "", "v1", true},
		{map[string][]string{"s": {""}}, "", "", false},
		{map[string][]string{"s": {"", "v1"}}, "", "", false},
		{map[string][]string{"s": {"v1", "v2"}}, "", "", false},
		{map[string][]string{"s": {"v1"}, "": {""}}, "", "", false},
		{map[string][]string{"s": {"v1 m=1", "v1 m=1,n=1"}}, "m", "v1 m=1", true},
		{map[string][]string{"s": {"v1 m=1,n=1", "v1 m=1,n=2"}}, "m", "v1 m=1", true},
		{map[string][]string{"s": {"v1 m=1,n=1", "v1 m=1,n=2"}}, "n", "", false},
		{map[string][]string{"s": {"v1 m=1,n=1", "v1 m=1,n=2"}}, "", "", false},
		{map[string][]string{"s": {"v1 m=1,n=1", "v2 m=1,n=1"}}, "m", "", false},
		{map[string][]string{"s": {"v1", "v1 m=1,n=1"}}, "m", "", false},
	}
	for _, c := range cases {
		register := origin.Register{Services: c.services}
		only, single := register.Only("s", c.model)
		require.Equal(t, c.single, single, c.services)
		require.Equal(t, c.only, only, c.services)
	}
}

// What the store lost with a copy is saved again, and what is too old to be taken up is
// forgotten.
func TestRecordsAreSavedAgainAndForgotten(t *testing.T) {
	book := known(start)
	key := origin.KeyOf("w", "a")
	book.Begin(start, key, v1, origin.Attempt{})
	records := book.Unsaved(start, 9)
	require.Len(t, records, 1)
	book.Saved(records)
	require.Empty(t, book.Unsaved(start, 9))
	book.Restored(start)
	require.Len(t, book.Unsaved(start, 9), 1)
	_, found := book.Find(start.Add(origin.Retention-1), key)
	require.True(t, found)
	_, found = book.Find(start.Add(origin.Retention), key)
	require.False(t, found)
	require.Empty(t, book.Unsaved(start.Add(origin.Retention), 9))
	require.NotEqual(t, origin.KeyOf("w", "a"), origin.KeyOf("x", "a"), "another workspace's request")
}

// Guards against a process that was out of step and takes in an earlier answer of the store after a later one.
func TestEarlierAnswerOfTheRegisterHidesNoVersion(t *testing.T) {
	earlier := origin.Register{Services: map[string][]string{"s": {"v1"}}, Revision: 4}
	later := origin.Register{Services: map[string][]string{"s": {"v1", "v2"}}, Revision: 6}
	var book origin.Book
	book.SetListed(start, []origin.Software{{Service: "s", Version: "v1"}})
	book.SetRegister(start, earlier, 0)
	lookup := origin.Lookup{Book: &book, Key: origin.KeyOf("w", "began at v2 elsewhere"), Service: "s"}
	require.Equal(t, origin.ReadRegister, lookup.Next(start))
	require.True(t, book.SetRegister(start, later, 0))
	require.False(t, book.SetRegister(start, earlier, 0), "asked for before, and overtaken")
	require.False(t, book.SetRegister(start, origin.Register{}, 0), "there was none yet")
	lookup.Read()
	require.Equal(t, origin.ReadRecord, lookup.Next(start))
	restored := origin.Register{Services: map[string][]string{"s": {"v1"}}, Revision: 2, Era: 0}
	require.True(t, book.SetRegister(start, restored, 1), "another era counts anew")
}

// A stream that has no record is known where all builds write its model alike.
func TestStreamIsFoundByItsModelsOnlyBuild(t *testing.T) {
	cases := []struct {
		model string
		step  origin.Step
	}{
		{"m", origin.GoOn},
		{"n", origin.Refuse},
		{"", origin.Refuse},
	}
	for _, c := range cases {
		var book origin.Book
		register := origin.Register{Services: map[string][]string{"s": {"v1 m=1,n=1", "v1 m=1,n=2"}}}
		lookup := origin.Lookup{Book: &book, Key: origin.KeyOf("w", "r"), Service: "s", Model: c.model}
		step := lookup.Next(start)
		for ; step < origin.GoOn; step = lookup.Next(start) {
			if step == origin.ReadRecord {
				lookup.Missed()
			}
			if step == origin.ReadRegister {
				book.SetRegister(start, register, 0)
				lookup.Read()
			}
		}
		require.Equal(t, c.step, step, c.model)
		if step == origin.GoOn {
			require.Equal(t, "v1 m=1", lookup.Record().Version)
		}
	}
}
