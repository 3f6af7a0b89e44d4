package chicoryrock

// Revisions of a store are ordered by its era first: how often it has come back from a copy.
// Within an era, the store gives each number out once. After it has come back, it gives
// numbers out again.

// revisionBits is the width of a store's own number in a revision: enough for a thousand
// changes a second over thirty years.
const revisionBits = 40

// RevisionIn returns the revision of a store's number in an era.
func RevisionIn(era, number uint64) uint64 {
	return era<<revisionBits | number&(1<<revisionBits-1)
}

// RevisionEra returns the era of a revision.
func RevisionEra(revision uint64) uint64 { return revision >> revisionBits }

// RevisionNumber returns the store's own number of a revision.
func RevisionNumber(revision uint64) uint64 { return revision & (1<<revisionBits - 1) }
