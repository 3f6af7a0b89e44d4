// Package gossip exchanges the reports of package fleet between processes as
// datagrams. A lost one is made up for by the next.
package gossip

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/policy/quota"
	"github.com/chicoryrock/chicoryrock/internal/serve/guard"
	"github.com/chicoryrock/chicoryrock/internal/serve/pause"
	"github.com/chicoryrock/chicoryrock/internal/state/evacuation"
	"github.com/chicoryrock/chicoryrock/internal/state/fleet"
)

const (
	// leastInterval is how often reports go out in a small fleet: several times
	// while a usual request runs.
	leastInterval = 200 * time.Millisecond
	// perPeer stretches the interval with the number of peers, so that the cost for
	// each process grows no faster than that number.
	perPeer = 12 * time.Millisecond
	// beatInterval is how often a process tells at least that it lives, and what is
	// its newest: a third of the time after which it would count as dead.
	beatInterval = time.Second
	// newsInterval is kept between reports of news, so that a series of changes
	// costs a few of them.
	newsInterval = 100 * time.Millisecond
	// maxReport is the longest report that is read, bytes.
	maxReport = 16 << 10
	// parcelInterval is how often parcels go out.
	parcelInterval = 50 * time.Millisecond
)

// Gossip sends and receives reports. Set the exported fields, then call Run.
type Gossip struct {
	Listen netip.AddrPort
	Peers  func() []netip.AddrPort
	Report func(now time.Time, brief bool) fleet.Report
	Heard  func(now time.Time, from netip.AddrPort, report *fleet.Report)
	// Parcels returns reports for single processes, by their addresses, that go out
	// several times a second besides; nil for none.
	Parcels func(now time.Time) []Parcel
	// Limits returns messages on the limits of backend servers, that go out as often and
	// after each one that is heard; nil for none.
	Limits      func(now time.Time) []LimitMessage
	HeardLimits func(now time.Time, message *quota.Message)
	// Evacuations returns an encoded evacuation.State that goes to all with the present
	// report, or nothing; nil for none.
	Evacuations      func(now time.Time) []byte
	HeardEvacuations func(now time.Time, from netip.AddrPort, state *evacuation.State)
	News             <-chan struct{} // something has changed that the others should ask for
	Log              *event.Log

	mutex  sync.Mutex
	failed bool
}

// Parcel is a report for one process.
type Parcel struct {
	To     netip.AddrPort
	Report fleet.Report
}

// LimitMessage is a message on limits for one process.
type LimitMessage struct {
	To      netip.AddrPort
	Message quota.Message
}

// Run exchanges reports until the context ends.
func (g *Gossip) Run(ctx context.Context) error {
	socket, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(g.Listen))
	if err != nil {
		return errors.Wrap(err, "listen for reports")
	}
	defer func() { _ = socket.Close() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	stop := context.AfterFunc(ctx, func() { _ = socket.Close() })
	defer stop()
	sending := guard.Parts{Log: g.Log}
	for part, send := range map[string]func(context.Context, *net.UDPConn){"send reports": g.send, "send parcels": g.sendParcels, "send limits": g.sendLimits} {
		go func() {
			// It ends with the context, and has no errors of its own.
			_ = sending.Keep(ctx, part, func(ctx context.Context) error {
				send(ctx, socket)
				return nil
			})
		}()
	}
	buffer := make([]byte, maxReport+1)
	for {
		n, from, err := socket.ReadFromUDPAddrPort(buffer)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			// An unreachable peer shows up as an error of the next read.
			g.fault(err)
			continue
		}
		if n > maxReport {
			g.Log.Write(event.PeerFailed, zap.Stringer("from", from), zap.Error(errors.Wrapf(chicoryrock.ErrInvalid, "more than %d bytes", maxReport)))
			continue
		}
		if g.HeardLimits != nil && n > 0 && buffer[0] == quota.FormatVersion {
			g.heardLimits(ctx, time.Now(), socket, from, buffer[:n])
			continue
		}
		if g.HeardEvacuations != nil && n > 0 && buffer[0] == evacuation.FormatVersion {
			g.heardEvacuations(time.Now(), from, buffer[:n])
			continue
		}
		report, err := fleet.Parse(buffer[:n])
		if err != nil {
			g.Log.Write(event.PeerFailed, zap.Stringer("from", from), zap.Error(err))
			continue
		}
		g.Heard(time.Now(), netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &report)
	}
}

// send sends reports: with loads in an interval that grows with the number of
// peers, and without at least as often as every beat and when there is news.
func (g *Gossip) send(ctx context.Context, socket *net.UDPConn) {
	var data []byte
	var full time.Time // when the next one with loads is due
	for ctx.Err() == nil {
		now := time.Now()
		peers := g.Peers()
		report := g.Report(now, now.Before(full))
		if !report.OmitsLoads {
			full = now.Add(max(leastInterval, time.Duration(len(peers))*perPeer))
		}
		data = report.Append(data[:0])
		if !g.postAll(ctx, socket, data, peers) {
			return
		}
		if g.Evacuations != nil {
			if state := g.Evacuations(now); len(state) > 0 && !g.postAll(ctx, socket, state, peers) {
				return
			}
		}
		g.wait(ctx, min(time.Until(full), beatInterval))
	}
}

// sendParcels sends what goes to single processes.
func (g *Gossip) sendParcels(ctx context.Context, socket *net.UDPConn) {
	if g.Parcels == nil {
		return
	}
	var data []byte
	pause.Every(ctx, parcelInterval, func(now time.Time) {
		for _, parcel := range g.Parcels(now) {
			data = parcel.Report.Append(data[:0])
			if !g.post(ctx, socket, data, parcel.To) {
				return
			}
		}
	})
}

// sendLimits sends the messages on limits that are due.
func (g *Gossip) sendLimits(ctx context.Context, socket *net.UDPConn) {
	if g.Limits == nil {
		return
	}
	pause.Every(ctx, parcelInterval, func(now time.Time) { g.tellLimits(ctx, now, socket) })
}

// tellLimits sends what there is to say on limits.
func (g *Gossip) tellLimits(ctx context.Context, now time.Time, socket *net.UDPConn) {
	var data []byte
	for _, one := range g.Limits(now) {
		data = one.Message.Append(data[:0])
		if !g.post(ctx, socket, data, one.To) {
			return
		}
	}
}

// postAll sends a datagram to several processes, and says whether the exchange goes on.
func (g *Gossip) postAll(ctx context.Context, socket *net.UDPConn, data []byte, to []netip.AddrPort) bool {
	for _, peer := range to {
		if !g.post(ctx, socket, data, peer) {
			return false
		}
	}
	return true
}

// post sends a datagram, and says whether the exchange goes on.
func (g *Gossip) post(ctx context.Context, socket *net.UDPConn, data []byte, to netip.AddrPort) bool {
	_, err := socket.WriteToUDPAddrPort(data, to)
	if ctx.Err() != nil {
		return false
	}
	g.fault(err)
	return true
}

// heardLimits takes in a message on limits, and answers it.
func (g *Gossip) heardLimits(ctx context.Context, now time.Time, socket *net.UDPConn, from netip.AddrPort, data []byte) {
	message, err := quota.Parse(data)
	if err != nil {
		g.Log.Write(event.PeerFailed, zap.Stringer("from", from), zap.Error(err))
		return
	}
	g.HeardLimits(now, &message)
	g.tellLimits(ctx, now, socket)
}

// heardEvacuations takes in what another process knows of evacuations.
func (g *Gossip) heardEvacuations(now time.Time, from netip.AddrPort, data []byte) {
	state, err := evacuation.Parse(data)
	if err != nil {
		g.Log.Write(event.PeerFailed, zap.Stringer("from", from), zap.Error(err))
		return
	}
	g.HeardEvacuations(now, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()), &state)
}

// wait waits for a time, or shorter when there is news.
func (g *Gossip) wait(ctx context.Context, longest time.Duration) {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	pause.For(ctx, min(longest, newsInterval))
	select {
	case <-ctx.Done():
	case <-timer.C:
	case <-g.News:
	}
}

// fault logs the first of the failures in a row.
func (g *Gossip) fault(err error) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if err != nil && !g.failed {
		g.Log.Write(event.PeerFailed, zap.Error(errors.Wrap(chicoryrock.ErrUnavailable, err.Error())))
	}
	g.failed = err != nil
}
