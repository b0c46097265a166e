package standin

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/tidwall/gjson"

	"tanagerpoint.example/tanager/endpoint"
)

const (
	// defaultAnswerTokens is the length of an answer to a request without
	// max_tokens.
	defaultAnswerTokens = 16
	// maxRetained bounds the generations that can be resumed or cancelled; the
	// oldest are dropped.
	maxRetained = 1024
	// prefixBytes is the number of bytes of a model's name and a prompt, joined,
	// that the prefix cache compares.
	prefixBytes = 256
)

// EngineOptions set the speed of a model engine and the checks that it makes.
type EngineOptions struct {
	// Slots is the number of requests that fit into the batch.
	Slots int
	// Prefill is the time to the first token; a cached prefix halves it.
	Prefill time.Duration
	// TokenInterval is the time between tokens in an empty batch. It grows with
	// the batch and is twice as long in a full one.
	TokenInterval time.Duration
	// LoadLag is the age of the load that the engine reports, counted from the last
	// change of the load.
	LoadLag time.Duration
	// CachedPrefixes is the size of the prefix cache, which evicts the least
	// recently used prefix.
	CachedPrefixes int
	// ChecksFencing makes the engine refuse an order to load or unload a model if
	// its old fencing token.
	ChecksFencing bool
}

// EngineRun describes a request that an engine started to run.
type EngineRun struct {
	// Attempt is the ID of the attempt, which the request carries in a header.
	Attempt string
	Model   string
	// ReceivedAt is when the request arrived, At when it got a slot.
	ReceivedAt time.Time
	At         time.Time
}

// Engine simulates a model engine with a batch of limited size, a queue ordered
// by priority, a prefix cache and streams that can be resumed. Its methods may be
// called concurrently.
//
// mu guards the fields below it. No other lock is taken while it is held.
type Engine struct {
	FaultInjector

	opt EngineOptions

	mu sync.Mutex
	// running is the number of occupied slots.
	running int
	waiting generationHeap
	// generations are those that can be resumed or cancelled, by ID.
	generations map[string]*generation
	// retained lists the IDs in generations, oldest first.
	retained    []string
	runs        []EngineRun
	loadSamples []loadSample
	// prefixes is the prefix cache, least recently used first.
	prefixes []string
	// maxFencingToken is the highest fencing token of an order carried out.
	maxFencingToken int64
	// loaded holds the models that were ordered to be loaded, with false for one
	// that was unloaded since. The engine runs requests for any model, loaded or not.
	loaded map[string]bool
	orders []Order
}

// Order is an order that an engine carried out: to load a model or, if Load is
// false, to unload it.
type Order struct {
	Model        string
	Load         bool
	FencingToken int64
}

// loadSample is the number of occupied slots from a time on.
type loadSample struct {
	at      time.Time
	running int
}

// generation is the answer to one request. The times of its tokens are fixed when
// it starts.
type generation struct {
	// id is the ID of the attempt that the request belongs to.
	id     string
	model  string
	prompt string
	// priority is lower for more urgent requests; generations of one priority start
	// in the order of sequence.
	priority int64
	sequence int
	tokens   int
	received time.Time
	// started is closed when the generation gets a slot; the fields from startedAt
	// to tokenInterval and endTimer are set before.
	started       chan struct{}
	startedAt     time.Time
	firstToken    time.Duration
	tokenInterval time.Duration
	cancelled     chan struct{}
	cancelOnce    sync.Once
	endTimer      *time.Timer
}

// NewEngine returns an idle engine.
func NewEngine(opt EngineOptions) *Engine {
	return &Engine{opt: opt, generations: map[string]*generation{}, loaded: map[string]bool{}}
}

// Runs returns the requests that the engine has started, in that order.
func (en *Engine) Runs() []EngineRun {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]EngineRun(nil), en.runs...)
}

// Orders returns the orders that the engine has carried out.
func (en *Engine) Orders() []Order {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]Order(nil), en.orders...)
}

// Handler returns the handler of the engine's API.
func (en *Engine) Handler() http.Handler {
	mu := http.NewServeMux()
	mu.HandleFunc("POST /v1/chat/completions", en.handleChat)
	mu.HandleFunc("GET /v1/chat/completions/{id}", en.handleResume)
	mu.HandleFunc("DELETE /v1/chat/completions/{id}", en.handleCancel)
	mu.HandleFunc("GET /v1/models", en.handleModels)
	mu.HandleFunc("POST /v1/load_lora_adapter", en.handleOrder(true))
	mu.HandleFunc("POST /v1/unload_lora_adapter", en.handleOrder(false))
	return en.Wrap(mu)
}

func (en *Engine) handleChat(wr http.ResponseWriter, rq *http.Request) {
	var body json.RawMessage
	if !readJSON(wr, rq, &body) {
		return
	}
	id := rq.Header.Get(endpoint.HeaderAttempt)
	ge := &generation{
		id: id, model: gjson.GetBytes(body, "model").Str,
		prompt:   gjson.GetBytes(body, "messages").Raw,
		priority: gjson.GetBytes(body, "priority").Int(),
		tokens:   defaultAnswerTokens,
		received: time.Now(),
		started:  make(chan struct{}), cancelled: make(chan struct{}),
	}
	if n := gjson.GetBytes(body, "max_tokens").Int(); n > 0 {
		ge.tokens = int(n)
	}
	if en.Faults().fails(ge.model) {
		http.Error(wr, `{"error":{"message":"model failed"}}`, http.StatusInternalServerError)
		return
	}
	en.enqueue(ge)
	en.stream(wr, rq, ge, -1)
}

func (en *Engine) handleResume(wr http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	ge := en.generations[rq.PathValue("id")]
	en.mu.Unlock()
	last, err := strconv.Atoi(rq.Header.Get("Last-Event-ID"))
	if ge == nil || err != nil {
		http.Error(wr, "no such answer", http.StatusNotFound)
		return
	}
	en.stream(wr, rq, ge, last)
}

// handleCancel ends a generation and frees its slot. One that has no slot yet stays
// in the queue, and later occupies a slot for its whole duration.
func (en *Engine) handleCancel(_ http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	ge := en.generations[rq.PathValue("id")]
	en.mu.Unlock()
	if ge == nil {
		return
	}
	ge.cancelOnce.Do(func() { close(ge.cancelled) })
	select {
	case <-ge.started:
		if ge.endTimer.Stop() {
			en.finish()
		}
	default:
	}
}

// enqueue registers a generation and starts it once there is a free slot.
func (en *Engine) enqueue(ge *generation) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.generations[ge.id] = ge
	en.retained = append(en.retained, ge.id)
	if len(en.retained) > maxRetained {
		delete(en.generations, en.retained[0])
		en.retained = en.retained[1:]
	}
	// This is the number of generations enqueued before: each is in one of the two.
	ge.sequence = len(en.runs) + len(en.waiting)
	heap.Push(&en.waiting, ge)
	en.startWaiting()
}

// startWaiting starts waiting generations while there are free slots. The caller
// holds mu.
func (en *Engine) startWaiting() {
	for en.running < en.opt.Slots && len(en.waiting) > 0 {
		en.start(heap.Pop(&en.waiting).(*generation))
	}
}

// start occupies a slot with a generation and sets the times of its tokens. The
// caller holds mu.
func (en *Engine) start(ge *generation) {
	en.running++
	now := time.Now()
	en.recordLoad(now)
	en.runs = append(en.runs, EngineRun{Attempt: ge.id, Model: ge.model, ReceivedAt: ge.received, At: now})
	fullness := float64(en.running) / float64(en.opt.Slots)
	ge.startedAt = now
	ge.firstToken = en.opt.Prefill
	if en.lookupPrefix(ge.model + ge.prompt) {
		ge.firstToken /= 2
	}
	ge.tokenInterval = time.Duration(float64(en.opt.TokenInterval) * (1 + fullness))
	duration := ge.firstToken + time.Duration(ge.tokens)*ge.tokenInterval
	ge.endTimer = time.AfterFunc(duration, en.finish)
	close(ge.started)
}

// finish frees a slot.
func (en *Engine) finish() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
	en.recordLoad(time.Now())
	en.startWaiting()
}

// recordLoad adds a sample of the load and drops those that are not needed for
// reportedLoad. The caller holds mu.
func (en *Engine) recordLoad(now time.Time) {
	en.loadSamples = append(en.loadSamples, loadSample{at: now, running: en.running})
	for len(en.loadSamples) > 1 && now.Sub(en.loadSamples[1].at) > en.opt.LoadLag {
		en.loadSamples = en.loadSamples[1:]
	}
}

// reportedLoad returns the share of occupied slots as it was LoadLag before the last
// change of the load. Time that passes without a change does not update it.
func (en *Engine) reportedLoad() float64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.loadSamples) == 0 {
		return 0
	}
	return float64(en.loadSamples[0].running) / float64(en.opt.Slots)
}

// lookupPrefix reports whether the prefix of a text, a model's name and a prompt
// joined, is in the cache. It adds a missing one, and makes it the most recently
// used in either case. The caller holds mu.
func (en *Engine) lookupPrefix(text string) bool {
	prefix := text[:min(len(text), prefixBytes)]
	for i, pr := range en.prefixes {
		if pr == prefix {
			en.prefixes = append(append(en.prefixes[:i:i], en.prefixes[i+1:]...), pr)
			return true
		}
	}
	en.prefixes = append(en.prefixes, prefix)
	if len(en.prefixes) > en.opt.CachedPrefixes {
		en.prefixes = en.prefixes[1:]
	}
	return false
}

// stream sends the events of a generation that follow the one with number last, all
// if it is -1, and injects the faults of streams. It blocks until the generation has
// a slot.
func (en *Engine) stream(wr http.ResponseWriter, rq *http.Request, ge *generation, last int) {
	select {
	case <-ge.started:
	case <-rq.Context().Done():
		return
	}
	id := ge.id
	if en.decrement(func(fa *Faults) *int { return &fa.CrossAnswers }) {
		id = "other-" + id
	}
	cut := en.decrement(func(fa *Faults) *int { return &fa.CutStreams })
	silent := en.decrement(func(fa *Faults) *int { return &fa.SilentStreams })
	fa := en.Faults()
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set(endpoint.HeaderAttempt, ge.id)
	wr.Header().Set(endpoint.HeaderLoad, endpoint.FormatLoad(en.reportedLoad()))
	sent := 0
	for ev := last + 1; ev <= ge.tokens+2; ev++ {
		if !ge.waitForToken(rq, min(ev, ge.tokens)) {
			return
		}
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", ev, ge.eventData(ev, id, fa.Usage))
		wr.(http.Flusher).Flush()
		sent++
		if cut && sent >= fa.CutAfter {
			panic(http.ErrAbortHandler)
		}
		if silent && sent >= fa.SilentAfter {
			<-rq.Context().Done()
			return
		}
	}
}

// waitForToken blocks until a token is generated, and reports whether it was: false
// if the generation is cancelled or the client disconnects before.
func (ge *generation) waitForToken(rq *http.Request, token int) bool {
	at := ge.startedAt.Add(ge.firstToken + time.Duration(token)*ge.tokenInterval)
	tm := time.NewTimer(time.Until(at))
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-ge.cancelled:
		return false
	case <-rq.Context().Done():
		return false
	}
}

// eventData returns the data of the event with number ev. Events are numbered from
// 0: one for each token, then the finish reason, the usage and the end marker. The
// number is also the event's ID. id is the request's ID in the event; usage, if not empty, replaces
// the usage.
func (ge *generation) eventData(ev int, id, usage string) string {
	head := fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q`, id, ge.startedAt.Unix(), ge.model)
	switch {
	case ev < ge.tokens:
		return fmt.Sprintf(`%s,"choices":[{"index":0,"delta":{"role":"assistant","content":"%s-%d "},"finish_reason":null}]}`, head, ge.model, ev)
	case ev == ge.tokens:
		return head + `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	case ev == ge.tokens+1:
		if usage == "" {
			prompt := len(strings.Fields(ge.prompt)) + 1
			usage = fmt.Sprintf(`{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}`, prompt, ge.tokens, prompt+ge.tokens)
		}
		return fmt.Sprintf(`%s,"choices":[],"usage":%s}`, head, usage)
	default:
		return "[DONE]"
	}
}

// generationHeap is a heap of waiting generations, ordered by priority, then by
// arrival.
type generationHeap []*generation

func (gh generationHeap) Len() int { return len(gh) }
func (gh generationHeap) Less(i, j int) bool {
	if gh[i].priority != gh[j].priority {
		return gh[i].priority < gh[j].priority
	}
	return gh[i].sequence < gh[j].sequence
}
func (gh generationHeap) Swap(i, j int) { gh[i], gh[j] = gh[j], gh[i] }

// Push implements heap.Interface.
func (gh *generationHeap) Push(va any) { *gh = append(*gh, va.(*generation)) }

// Pop implements heap.Interface.
func (gh *generationHeap) Pop() any {
	old := *gh
	last := old[len(old)-1]
	*gh = old[:len(old)-1]
	return last
}
