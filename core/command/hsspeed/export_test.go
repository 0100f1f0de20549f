package hsspeed

// Size returns the numbers of workers, groups and runs that are held.
func (t *Tracker) Size() (workers, groups, runs int) { return len(t.order), len(t.groups), len(t.runs) }
