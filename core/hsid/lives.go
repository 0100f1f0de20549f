package hsid

import (
	"slices"
	"time"
)

const (
	// maxEarlierLives is the number of earlier lives of a process that are remembered.
	maxEarlierLives = 16
	// lifeSilence is how long the present life has to be silent before messages of an earlier one count: three times the
	// usual interval of reports.
	lifeSilence = 1500 * time.Millisecond
	// returnTime is the time between two messages of an earlier life that show that it goes on. Messages of a life that has
	// ended arrive late, but together.
	returnTime = time.Second
)

// Lives tells which life of a process its messages are from, by their incarnation and sequence. Incarnations are random, so an
// unknown one counts as a new life. If it was an earlier one whose first message arrived late, the life that goes on is found
// again by its later messages. The zero value knows no life.
type Lives struct {
	present Incarnation
	newest  Sequence
	heard   time.Time
	earlier []earlierLife
	// returning is an earlier life of which a message has arrived since the present one became silent, at returningAt.
	returning   Incarnation
	returningAt time.Time
}

type earlierLife struct {
	incarnation Incarnation
	newest      Sequence
}

// Accept records a message and reports whether it is from the present life and newer than all before it.
func (l *Lives) Accept(i Incarnation, s Sequence, now time.Time) bool {
	if i == l.present {
		if s <= l.newest {
			return false
		}
		l.newest, l.heard, l.returning = s, now, 0
		return true
	}
	for k := range l.earlier {
		if l.earlier[k].incarnation == i {
			if !l.returns(&l.earlier[k], s, now) {
				return false
			}
			l.earlier = slices.Delete(l.earlier, k, k+1)
			break
		}
	}
	if l.present != 0 {
		l.earlier = append(l.earlier, earlierLife{l.present, l.newest})
		l.earlier = l.earlier[max(0, len(l.earlier)-maxEarlierLives):]
	}
	l.present, l.newest, l.heard, l.returning = i, s, now, 0
	return true
}

// returns reports whether a message shows that an earlier life goes on and the present one doesn't.
func (l *Lives) returns(e *earlierLife, s Sequence, now time.Time) bool {
	if s <= e.newest || now.Sub(l.heard) <= lifeSilence {
		return false
	}
	e.newest = s
	if l.returning != e.incarnation {
		l.returning, l.returningAt = e.incarnation, now
		return false
	}
	return now.Sub(l.returningAt) >= returnTime
}
