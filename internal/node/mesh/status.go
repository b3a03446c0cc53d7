package mesh

import (
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"gitlab.com/cranberrytack/cranberrytack/internal/base/clock"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/feed"
	"gitlab.com/cranberrytack/cranberrytack/internal/conf/order"
	"gitlab.com/cranberrytack/cranberrytack/internal/moves/canary"
)

// recall reads once how moves ended that are older than this daemon.
func (m *moves) recall(ctx context.Context) {
	m.mu.Lock()
	due := !m.restored && len(m.services) > 0
	m.mu.Unlock()
	if !due {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	if err := m.restore(ctx); err != nil {
		m.log.Warn().Err(err).Msg("statuses_not_read")
		pauseFor(ctx, statusRetry)
		return
	}
	m.mu.Lock()
	m.restored = true
	m.mu.Unlock()
}

func pauseFor(ctx context.Context, d clock.Milli) {
	t := time.NewTimer(d.Duration())
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

// due returns the ended moves whose status this daemon should write now.
func (m *moves) due(now clock.Milli) []*moveState {
	live := m.table.Live()
	rank, _ := slices.BinarySearch(live, m.self)
	m.mu.Lock()
	defer m.mu.Unlock()
	var out []*moveState
	for _, s := range m.services {
		if s.move.Phase() == canary.Running || s.written || now-s.tried < statusRetry {
			continue
		}
		if now-s.ended >= clock.Milli(rank)*turn {
			s.tried = now
			out = append(out, s)
		}
	}
	return out
}

// write puts the end of a move into the store, unless it is there.
func (m *moves) write(ctx context.Context, s *moveState) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout.Duration())
	defer cancel()
	m.mu.Lock()
	ord, phase := s.move.Order(), s.move.Phase()
	m.mu.Unlock()
	err := m.writeStatus(ctx, ord, phase)
	if err != nil {
		m.log.Warn().Str("service", ord.Service).Str("phase", phase.String()).Err(err).Msg("status_not_written")
		return
	}
	m.log.Info().Str("service", ord.Service).Str("phase", phase.String()).Msg("status_written")
	m.mu.Lock()
	s.written = true
	m.mu.Unlock()
	m.push()
}

func (m *moves) writeStatus(ctx context.Context, ord order.Move, phase canary.Phase) error {
	topic := m.platform.Topics().Status
	b, err := m.store.Newest(ctx, topic)
	if err != nil {
		return err
	}
	key := m.platform.StatusKey(ord.Service)
	for _, item := range b.Items {
		if item.Key != key {
			continue
		}
		version, p, err := m.platform.DecodeStatus(item.Value)
		if err == nil && version == ord.Version && p != canary.Running {
			return nil
		}
	}
	value, err := m.platform.EncodeStatus(ord.Version, phase)
	if err != nil {
		return err
	}
	_, err = m.store.Append(ctx, topic, feed.Item{Key: key, Value: value}, b.End)
	return err
}

// restore takes over the statuses that the store has, after a start.
func (m *moves) restore(ctx context.Context) error {
	b, err := m.store.Newest(ctx, m.platform.Topics().Status)
	if err != nil {
		return errors.Wrap(err, "read statuses")
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	for service, s := range m.services {
		for _, item := range b.Items {
			if item.Key != m.platform.StatusKey(service) {
				continue
			}
			version, p, err := m.platform.DecodeStatus(item.Value)
			if err != nil {
				m.log.Warn().Str("key", item.Key).Err(err).Msg("status_unreadable")
				continue
			}
			if version == s.move.Order().Version && s.move.Settle(p, "found in the store") {
				s.written = true
				m.report(service, s, m.clock.Now())
			}
		}
	}
	return nil
}
