package router_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/testsite"
	"tanagerpoint.example/tanager/worker"
)

// The bound of rule LIMIT of the users' platform: in one time in which a service's replicas
// are brittle, they may fall over allowedFalls times, and allowedFallShare times their number
// more.
const (
	allowedFalls     = 2
	allowedFallShare = 0.1
	// usedRoom is the least part of the room of an overloaded service that is used, and
	// servedRoomShare the least part that is served of what there is room for.
	usedRoom        = 0.8
	servedRoomShare = 0.95
)

const (
	brittleSlots = 8
	// plainRun and streamRun are how long a replica takes for a request.
	plainRun     = 100 * time.Millisecond
	streamEvents = 5
	streamGap    = 100 * time.Millisecond
	streamRun    = streamEvents * streamGap
)

// brittleCase is a service whose replicas become brittle under a load.
type brittleCase struct {
	routers  int
	service  string
	replicas int
	// load is what is asked for, as a part of what the replicas have room for.
	load     float64
	refusals int
	// queue is how many requests a brittle replica lets wait.
	queue int
	// missing is how many of its slots a replica lacks, without a word of it.
	missing int
}

// slots returns how many requests a replica runs at once.
func (bc brittleCase) slots() int { return brittleSlots - bc.missing }

func (bc brittleCase) String() string {
	return fmt.Sprintf("%d routers, %d of %s, load %.1f, %d refusals, %d slots", bc.routers, bc.replicas, bc.service, bc.load, bc.refusals, bc.slots())
}

// run returns how long a replica takes for a request.
func (bc brittleCase) run() time.Duration {
	if bc.service == testsite.EngineService {
		return streamRun
	}
	return plainRun
}

// capacity returns how many requests the replicas can run in a second.
func (bc brittleCase) capacity() float64 {
	return float64(bc.replicas*bc.slots()) / bc.run().Seconds()
}

func (bc brittleCase) path() string {
	if bc.service == testsite.EngineService {
		return testsite.EngineRoute + "x"
	}
	return testsite.SafeRoute + "x"
}

// options returns the options of a site with the service.
func (bc brittleCase) options() testsite.RouterOptions {
	opt := testsite.RouterOptions{
		Routers: bc.routers, Domains: 3,
		Plain: standin.ReplicaOptions{Delay: plainRun, Slots: bc.slots(), ReportedSlots: brittleSlots, Queue: 3 * brittleSlots},
		Engine: standin.ReplicaOptions{
			Events: streamEvents, Gap: streamGap, Confidence: map[string]string{testsite.SmallModel: "90"},
			Slots: bc.slots(), ReportedSlots: brittleSlots, Queue: 3 * brittleSlots,
		},
	}
	if bc.service == testsite.EngineService {
		opt.Engines = bc.replicas
	} else {
		opt.Plains = bc.replicas
	}
	return opt
}

// start runs the service's site under its load, and calls fn a few seconds later.
func (bc brittleCase) start(t *testing.T, fn func(t *testing.T, rs *testsite.RouterSite, load *openLoad)) {
	t.Helper()
	withSite(t, bc.options(), func(t *testing.T, rs *testsite.RouterSite) {
		rs.Configure(func(co *testsite.Configuration) {
			for n := range co.Routes {
				co.Routes[n].TargetLatencyMS, co.Routes[n].TimeoutMS = 500, 5000
			}
		})
		time.Sleep(3 * time.Second)
		load := &openLoad{site: rs, routers: bc.routers, perSecond: bc.load * bc.capacity(), path: bc.path()}
		defer load.start()()
		time.Sleep(3 * time.Second)
		fn(t, rs, load)
	})
}

// turnBrittle makes all replicas brittle.
func (bc brittleCase) turnBrittle(rs *testsite.RouterSite) {
	setFaults(rs, standin.ReplicaFaults{Brittle: &standin.Brittleness{Refusals: bc.refusals, Queue: bc.queue}})
}

// checkFalls checks that the replicas did not fall over too often.
func (bc brittleCase) checkFalls(t *testing.T, rs *testsite.RouterSite) {
	t.Helper()
	falls, refusals := 0, 0
	for _, re := range rs.Replicas {
		falls += len(re.Falls())
		refusals += len(re.Refusals())
	}
	allowed := allowedFalls + allowedFallShare*float64(bc.replicas)
	t.Logf("%d falls, allowed %.1f; %d refusals of replicas", falls, allowed, refusals)
	qt.Check(t, float64(falls) <= allowed, qt.IsTrue)
}

// openLoad sends requests at random times to random routers, whatever becomes of those before.
type openLoad struct {
	site      *testsite.RouterSite
	routers   int
	perSecond float64
	path      string

	mu   sync.Mutex
	done []openResult
}

// openResult is what became of a request.
type openResult struct {
	at     time.Time
	took   time.Duration
	status int
}

// start sends the load until the returned function is called.
func (ol *openLoad) start() (stop func()) {
	gr := worker.NewGroup()
	gr.Go(func(ctx context.Context) {
		rng := rand.New(rand.NewPCG(7, 11))
		for n := 0; worker.Sleep(ctx, time.Duration(rng.ExpFloat64()/ol.perSecond*float64(time.Second))); n++ {
			ro := 1 + rng.IntN(ol.routers)
			gr.Go(func(ctx context.Context) { ol.send(ctx, ro, fmt.Sprintf("o%d-%d", ro, n)) })
		}
	})
	return gr.Close
}

func (ol *openLoad) send(ctx context.Context, ro int, id string) {
	at := time.Now()
	an := do(ol.site, request{router: ro, id: id, path: ol.path, ctx: ctx})
	ol.mu.Lock()
	defer ol.mu.Unlock()
	re := openResult{at: at, took: time.Since(at), status: an.status}
	if an.err != nil {
		re.status = 0
	}
	ol.done = append(ol.done, re)
}

// between returns what was asked for within a span, and what of it was served.
func (ol *openLoad) between(from, to time.Time) (asked, served int) {
	ol.mu.Lock()
	defer ol.mu.Unlock()
	for _, re := range ol.done {
		if re.at.Before(from) || !re.at.Before(to) {
			continue
		}
		asked++
		if re.status == http.StatusOK {
			served++
		}
	}
	return asked, served
}

// checkServed checks that what there is room for was served within a span.
func (bc brittleCase) checkServed(t *testing.T, load *openLoad, from, to time.Time) {
	t.Helper()
	asked, served := load.between(from, to)
	room := bc.capacity() * to.Sub(from).Seconds()
	t.Logf("%d asked, %d served (%.3f), %.3f of the room", asked, served, float64(served)/float64(asked), float64(served)/room)
	if bc.load > 1 {
		qt.Check(t, float64(served) >= usedRoom*room, qt.IsTrue)
		return
	}
	qt.Check(t, float64(served) >= servedRoomShare*float64(asked), qt.IsTrue)
}

// TestBrittleReplicasDoNotFallOver has all replicas of a service say that they are brittle,
// and let fewer requests wait, while more is asked for than they have room for, or nearly as
// much. The routers knew nothing of it: nearly all replicas fell over, again and again.
func TestBrittleReplicasDoNotFallOver(t *testing.T) {
	for _, bc := range []brittleCase{
		{8, testsite.PlainService, 4, 0.3, 1, 0, 0},
		{8, testsite.PlainService, 4, 1.2, 3, 2, 0},
		{8, testsite.PlainService, 4, 2, 8, 0, 0},
		{8, testsite.PlainService, 4, 3, 1, 2, 0},
		{8, testsite.EngineService, 9, 0.8, 3, 2, 0},
		{8, testsite.EngineService, 9, 1.2, 1, 0, 0},
		{8, testsite.EngineService, 9, 3, 8, 2, 0},
		{24, testsite.PlainService, 6, 2, 3, 2, 0},
		{24, testsite.EngineService, 12, 3, 1, 2, 0},
		{60, testsite.EngineService, 30, 2, 3, 2, 0},
		{8, testsite.PlainService, 4, 2, 3, 2, 3},
		{8, testsite.PlainService, 4, 2, 1, 2, 3},
		{8, testsite.EngineService, 9, 2, 3, 2, 3},
	} {
		t.Run(bc.String(), bc.runBrittle)
	}
}

// runBrittle has the replicas be brittle for a while.
func (bc brittleCase) runBrittle(t *testing.T) {
	bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
		bc.turnBrittle(rs)
		began := time.Now()
		time.Sleep(12 * time.Second)
		bc.checkFalls(t, rs)
		time.Sleep(time.Second)
		bc.checkServed(t, load, began.Add(contactLimit), began.Add(12*time.Second))
	})
}

// TestBrittleReplicasServeNearlyAllOfAModerateLoad has brittle replicas be asked for less than they
// have room for.
func TestBrittleReplicasServeNearlyAllOfAModerateLoad(t *testing.T) {
	brittleCase{8, testsite.PlainService, 4, 0.8, 1, 2, 0}.runBrittle(t)
}

// TestMostBrittleReplicasThatLackRoomUnsaid has replicas run fewer requests than the slots that
// they report, let none wait and bear one refusal in a second. Only refusals show what they lack.
func TestMostBrittleReplicasThatLackRoomUnsaid(t *testing.T) {
	brittleCase{8, testsite.EngineService, 9, 2, 1, 0, 3}.runBrittle(t)
}

// TestBrittleReplicasThatLackRoomDoNotFallOverForLong has such replicas be brittle for a minute: the
// routers must not find out again and again that there is no more room.
func TestBrittleReplicasThatLackRoomDoNotFallOverForLong(t *testing.T) {
	for _, refusals := range []int{1, 3} {
		bc := brittleCase{8, testsite.EngineService, 9, 2, refusals, 0, 3}
		t.Run(bc.String(), func(t *testing.T) {
			bc.start(t, func(t *testing.T, rs *testsite.RouterSite, load *openLoad) {
				bc.turnBrittle(rs)
				began := time.Now()
				time.Sleep(time.Minute)
				bc.checkFalls(t, rs)
				time.Sleep(time.Second)
				bc.checkServed(t, load, began.Add(contactLimit), began.Add(time.Minute))
			})
		})
	}
}
