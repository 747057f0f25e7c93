package sitesync

import (
	"context"
	"errors"
	"time"

	"mimosaseam.example/mimosaseam/internal/port"
)

const (
	// relayInterval is the time between two questions to the router that reads the log
	// for those around it. It adds to the age of what that router knows.
	relayInterval = 500 * time.Millisecond
	// relaySlack is what a relayed answer may be older than the reader's own reads are
	// apart: the way to it and a late read. Older ones are not taken.
	relaySlack = 300 * time.Millisecond
	// followedWait replaces operatorWait on a router that others ask: an empty answer
	// verifies only the time at which it was asked for, so what a router vouches for is
	// up to two waits old.
	followedWait = 500 * time.Millisecond
	// relayTimeout bounds one question; the log is read instead.
	relayTimeout = 300 * time.Millisecond
)

// Relay asks a router that reads the log itself for the records from the offset on. ok
// is false when this router is one of those that read.
type Relay func(ctx context.Context, stream string, from port.Offset) (b port.Batch, ok bool, err error)

// wait is how long the next read waits for news.
func (s *Follower) wait() time.Duration {
	if s.HasFollowers != nil && s.HasFollowers() {
		return min(s.Wait, followedWait)
	}
	return s.Wait
}

// relayed takes what another router has read, and reports whether that was new enough.
// It answers the load of many routers on the log: its calls then grow with the number
// of availability zones.
func (s *Follower) relayed(ctx context.Context) bool {
	if s.Relay == nil || !s.loaded {
		return false
	}
	at := s.Clock.Now()
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	b, ok, err := s.Relay(ctx, s.Name, s.offset())
	var expired *port.ExpiredError
	switch {
	case !ok:
		return false
	case errors.As(err, &expired):
		// The reader began after what is known here: what was removed in between is
		// known to the log alone.
		s.Logger.Info("history forgotten", "stream", s.Name, "next", s.offset(), "why", err.Error())
		s.loaded = false
		return false
	case err != nil:
		s.Logger.Debug("log read instead of a peer's knowledge", "stream", s.Name, "why", err.Error())
		return false
	case b.Age > 2*followedWait+s.Interval+relaySlack || b.Next < s.offset():
		s.Logger.Debug("log read instead of a peer's knowledge", "stream", s.Name, "age_ms", b.Age.Milliseconds(), "next", b.Next)
		return false
	}
	s.apply(fromPeer(b), at.Add(-b.Age))
	return true
}

// fromPeer turns a peer's answer into records; an empty value removes the key.
func fromPeer(b port.Batch) port.KeyedBatch {
	out := port.KeyedBatch{Next: b.Next}
	for _, r := range b.Records {
		record := port.KeyedRecord{Key: r.ID}
		if len(r.Data) > 0 {
			record.Value = r.Data
		}
		out.Records = append(out.Records, record)
	}
	return out
}

// kept is the newest record of a key, for other routers.
type kept struct {
	value []byte
	// offset is at least that of the record.
	offset port.Offset
}
