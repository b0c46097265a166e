package endpoint

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"tanagerpoint.example/tanager/network"
	"tanagerpoint.example/tanager/worker"
)

const (
	// slowDial is how long a new connection may take before it raises doubt about the path.
	slowDial = 250 * time.Millisecond
	// silence is how long nothing may be received from any of the endpoints, while a request waits
	// for its answer, before that raises doubt.
	silence = time.Second
	// probeTimeout bounds a round of probes.
	probeTimeout = 400 * time.Millisecond
	// probeStagger is the time between the starts of two probes of a round: mostly the first
	// one succeeds, and new connections are paid for.
	probeStagger = 50 * time.Millisecond
	// doubtProbes and lostProbes are the largest numbers of probes of a round. Many endpoints
	// may be down at once while the path is sound.
	doubtProbes = 16
	lostProbes  = 4
	// insistTimeout bounds a connection that is tried while the path is lost.
	insistTimeout = 100 * time.Millisecond
)

// errPathLost is the error of connections to endpoints while the path is lost.
var errPathLost = eris.New("this VM has no path to the service's endpoints")

// Path watches whether this VM has a path to the endpoints of a service: whether new connections
// can be made to any. While all is well it makes none of its own. It is safe for concurrent use.
//
// mu guards the fields below it. No other lock is taken while it is held.
type Path struct {
	network network.Network
	// pooled and unpooled make the connections that the path watches.
	pooled, unpooled *http.Client
	// heardAt is when anything was last received from an endpoint, in Unix nanoseconds.
	heardAt atomic.Int64
	// wake has a value when a round of probes may be due.
	wake chan struct{}

	mu    sync.Mutex
	state PathState
	// settled is closed, and replaced, when the doubt ends.
	settled chan struct{}
	// lost is done while the path is lost.
	lost       context.Context
	cancelLost context.CancelFunc
	// closed reports whether nothing watches the path any more.
	closed bool
}

// NewPath returns a path that is sound; Run watches it.
func NewPath(ne network.Network) *Path {
	pa := &Path{network: ne, wake: make(chan struct{}, 1), settled: make(chan struct{})}
	pa.lost, pa.cancelLost = context.WithCancel(context.Background())
	pa.pooled, pa.unpooled = pa.Network().Client(idleConnections), pa.Network().UnpooledClient()
	return pa
}

// insistent is the key of a context whose dials are made also while the path is lost.
type insistent struct{}

// Network returns a network whose dials the path watches. They fail at once while it is lost,
// unless the call insists.
func (pa *Path) Network() network.Network {
	ne := pa.network
	ne.Dial = pa.dial
	return ne
}

// Lost reports whether the path is lost.
func (pa *Path) Lost() bool {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.state.Lost()
}

// lostContext returns a context that is done once the path is lost.
func (pa *Path) lostContext() context.Context {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	return pa.lost
}

func (pa *Path) dial(ctx context.Context, nw, address string) (net.Conn, error) {
	attempt, cancel := context.WithCancel(ctx)
	defer cancel()
	lost := pa.lostContext()
	if lost.Err() != nil && ctx.Value(insistent{}) != nil {
		lost = context.Background()
		attempt, cancel = context.WithTimeout(ctx, insistTimeout)
		defer cancel()
	}
	if lost.Err() != nil {
		return nil, errPathLost
	}
	defer context.AfterFunc(lost, cancel)()
	slow := time.AfterFunc(slowDial, pa.Doubt)
	defer slow.Stop()
	co, err := pa.network.Dial(attempt, nw, address)
	switch {
	case err == nil:
		pa.proved()
		return &heardConn{Conn: co, path: pa}, nil
	case lost.Err() != nil || attempt.Err() != nil && ctx.Err() == nil:
		return nil, errPathLost
	case ctx.Err() == nil:
		pa.Doubt()
	}
	return nil, err
}

// heardConn is a connection whose reads show that endpoints are heard.
type heardConn struct {
	net.Conn
	path *Path
}

// Read implements net.Conn.
func (hc *heardConn) Read(buf []byte) (int, error) {
	n, err := hc.Conn.Read(buf)
	if n > 0 {
		hc.path.heardAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// WatchSilence raises doubt if nothing is received from any endpoint for too long, until the
// function that it returns is called.
func (pa *Path) WatchSilence() (stop func() bool) {
	return time.AfterFunc(silence, func() {
		if time.Since(time.Unix(0, pa.heardAt.Load())) >= silence {
			pa.Doubt()
		}
	}).Stop
}

// Doubt records that a connection to an endpoint failed. It does not block.
func (pa *Path) Doubt() {
	pa.mu.Lock()
	pa.state.Failed(time.Now())
	pa.mu.Unlock()
	pa.wakeRun()
}

func (pa *Path) wakeRun() {
	select {
	case pa.wake <- struct{}{}:
	default:
	}
}

// Settle reports whether the path is lost. While that is in doubt, it blocks until it is known,
// ctx is done or the path is closed.
func (pa *Path) Settle(ctx context.Context) (lost bool) {
	for {
		pa.mu.Lock()
		lost, known, settled := pa.state.Lost(), pa.state.Settled() || pa.closed, pa.settled
		pa.mu.Unlock()
		if known {
			return lost
		}
		select {
		case <-settled:
		case <-ctx.Done():
			return pa.Lost()
		}
	}
}

// proved records that a new connection to an endpoint was made.
func (pa *Path) proved() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	doubted := !pa.state.Settled()
	if pa.state.Proved(time.Now()) {
		pa.lost, pa.cancelLost = context.WithCancel(context.Background())
	}
	if doubted {
		pa.endDoubt()
	}
}

// endDoubt wakes those that wait in Settle. The caller holds mu.
func (pa *Path) endDoubt() {
	close(pa.settled)
	pa.settled = make(chan struct{})
}

// Run probes endpoints while the path is in doubt or lost, until ctx is done. addresses returns
// those of the service's endpoints. changed is called when the path is lost or back.
func (pa *Path) Run(ctx context.Context, addresses func() []string, changed func(lost bool)) {
	defer pa.close()
	told := false
	for ctx.Err() == nil {
		if lost := pa.Lost(); lost != told {
			told = lost
			changed(lost)
		}
		pa.mu.Lock()
		at, due := pa.state.NextRound()
		pa.mu.Unlock()
		if wait := time.Until(at); due && wait <= 0 {
			pa.round(ctx, addresses())
		} else {
			pa.waitForDoubt(ctx, due, wait)
		}
	}
}

func (pa *Path) close() {
	pa.CloseIdle()
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.closed = true
	pa.cancelLost()
	pa.endDoubt()
}

// CloseIdle closes the idle pooled connections.
func (pa *Path) CloseIdle() { pa.pooled.CloseIdleConnections() }

// waitForDoubt blocks until something raises doubt, or until a round of probes is due.
func (pa *Path) waitForDoubt(ctx context.Context, due bool, wait time.Duration) {
	var elapsed <-chan time.Time
	if due {
		tm := time.NewTimer(wait)
		defer tm.Stop()
		elapsed = tm.C
	}
	select {
	case <-pa.wake:
	case <-elapsed:
	case <-ctx.Done():
	}
}

// round probes some of the addresses. Without endpoints there is no path to lose.
func (pa *Path) round(ctx context.Context, addresses []string) {
	probes := pa.beginRound()
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	addresses = addresses[:min(probes, len(addresses))]
	switch {
	case len(addresses) == 0 || pa.probe(ctx, addresses):
		pa.proved()
	case ctx.Err() == nil:
		pa.roundFailed()
	}
}

// beginRound records that a round begins, and returns the number of its probes.
func (pa *Path) beginRound() int {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	pa.state.RoundBegan(time.Now())
	if pa.state.Lost() {
		return lostProbes
	}
	return doubtProbes
}

// roundFailed records that all probes of a round failed.
func (pa *Path) roundFailed() {
	pa.mu.Lock()
	defer pa.mu.Unlock()
	if pa.state.RoundFailed() {
		pa.cancelLost()
		pa.endDoubt()
	}
}

// probe reports whether a new connection to one of the addresses can be made.
func (pa *Path) probe(ctx context.Context, addresses []string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	wg := worker.NewGroup()
	defer wg.Wait()
	defer cancel()
	results := make(chan bool, len(addresses))
	failed := 0
	for _, address := range addresses {
		wg.Go(func(context.Context) { results <- pa.reaches(ctx, address) })
		select {
		case ok := <-results:
			if ok {
				return true
			}
			failed++
		case <-time.After(probeStagger):
		}
	}
	for ; failed < len(addresses); failed++ {
		if <-results {
			return true
		}
	}
	return false
}

func (pa *Path) reaches(ctx context.Context, address string) bool {
	co, err := pa.network.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	_ = co.Close()
	return true
}

const (
	// aliveDialTimeout bounds a connection by which Alive asks, and aliveTime is how long each must
	// stay open: a process that ends may still accept one, and so does a proxy before it.
	aliveDialTimeout = 200 * time.Millisecond
	aliveTime        = 20 * time.Millisecond
	aliveConnections = 2
)

// Alive reports whether the process at an endpoint's address runs: whether new connections to it, one
// after the other, are made and stay open for aliveTime. Nothing is sent on them. If not, the path is in doubt
// until another connection proves it.
func (pa *Path) Alive(ctx context.Context, address string) bool {
	for range aliveConnections {
		if !pa.keepsConnection(ctx, address) {
			pa.mu.Lock()
			pa.state.Doubt()
			pa.mu.Unlock()
			pa.wakeRun()
			return false
		}
	}
	return true
}

func (pa *Path) keepsConnection(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveDialTimeout)
	defer cancel()
	co, err := pa.network.Dial(ctx, "tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = co.Close() }()
	if co.SetReadDeadline(time.Now().Add(aliveTime)) != nil {
		return false
	}
	_, err = co.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}
