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
	defaultAnswerTokens = 16
	// maxKept is how many finished answers are kept to be resumed.
	maxKept = 1024
	// prefixBytes is how much of a prompt counts as its cached prefix.
	prefixBytes = 256
)

// EngineOptions set a model engine's speed.
type EngineOptions struct {
	Slots int
	// Prefill is the time to the first token with an empty batch; a cached
	// prefix halves it.
	Prefill time.Duration
	// TokenInterval is the time between tokens with an empty batch; a full batch
	// doubles it.
	TokenInterval time.Duration
	// LoadLag is the age of the load that is reported.
	LoadLag time.Duration
	// CachedPrefixes is how many prompt prefixes are kept.
	CachedPrefixes int
	// ChecksFencing refuses orders with an old fencing token.
	ChecksFencing bool
}

// EngineRun is one request that an engine started to run.
type EngineRun struct {
	Attempt string
	Model   string
	// ReceivedAt is when the request came, At when it was started.
	ReceivedAt time.Time
	At         time.Time
}

// Engine stands in for a model engine.
type Engine struct {
	FaultInjector

	opt EngineOptions

	mu       sync.Mutex
	running  int
	waiting  waitHeap
	answers  map[string]*answer
	kept     []string
	ran      []EngineRun
	reported []loadReport
	prefixes []string
	fence    int64
	loaded   map[string]bool
	orders   []Order
}

// Order is one order that an engine carried out.
type Order struct {
	Model        string
	Load         bool
	FencingToken int64
}

type loadReport struct {
	at      time.Time
	running int
}

// answer is one generation. Its tokens come at times set when it starts.
type answer struct {
	id       string
	model    string
	prompt   string
	priority int64
	order    int
	tokens   int
	received time.Time
	started  chan struct{}
	startAt  time.Time
	first    time.Duration
	interval time.Duration
	cancel   chan struct{}
	once     sync.Once
	end      *time.Timer
}

// NewEngine gives an idle engine.
func NewEngine(opt EngineOptions) *Engine {
	return &Engine{opt: opt, answers: map[string]*answer{}, loaded: map[string]bool{}}
}

// Runs lists the requests that the engine started.
func (en *Engine) Runs() []EngineRun {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]EngineRun(nil), en.ran...)
}

// Orders lists the orders carried out.
func (en *Engine) Orders() []Order {
	en.mu.Lock()
	defer en.mu.Unlock()
	return append([]Order(nil), en.orders...)
}

// Handler serves the engine's API.
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
	an := &answer{
		id: id, model: gjson.GetBytes(body, "model").Str,
		prompt:   gjson.GetBytes(body, "messages").Raw,
		priority: gjson.GetBytes(body, "priority").Int(),
		tokens:   defaultAnswerTokens,
		received: time.Now(),
		started:  make(chan struct{}), cancel: make(chan struct{}),
	}
	if n := gjson.GetBytes(body, "max_tokens").Int(); n > 0 {
		an.tokens = int(n)
	}
	if an.model == en.Faults().FailModel && an.model != "" {
		http.Error(wr, `{"error":{"message":"model failed"}}`, http.StatusInternalServerError)
		return
	}
	en.admit(an)
	en.stream(wr, rq, an, -1)
}

func (en *Engine) handleResume(wr http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	an := en.answers[rq.PathValue("id")]
	en.mu.Unlock()
	last, err := strconv.Atoi(rq.Header.Get("Last-Event-ID"))
	if an == nil || err != nil {
		http.Error(wr, "no such answer", http.StatusNotFound)
		return
	}
	en.stream(wr, rq, an, last)
}

func (en *Engine) handleCancel(_ http.ResponseWriter, rq *http.Request) {
	en.mu.Lock()
	an := en.answers[rq.PathValue("id")]
	en.mu.Unlock()
	if an == nil {
		return
	}
	an.once.Do(func() { close(an.cancel) })
	select {
	case <-an.started:
		if an.end.Stop() {
			en.finish()
		}
	default:
	}
}

// admit puts an answer into the batch, or into the queue when it is full.
func (en *Engine) admit(an *answer) {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.answers[an.id] = an
	en.kept = append(en.kept, an.id)
	if len(en.kept) > maxKept {
		delete(en.answers, en.kept[0])
		en.kept = en.kept[1:]
	}
	an.order = len(en.ran) + len(en.waiting)
	heap.Push(&en.waiting, an)
	en.fill()
}

// fill starts waiting answers while there are free slots.
func (en *Engine) fill() {
	for en.running < en.opt.Slots && len(en.waiting) > 0 {
		en.start(heap.Pop(&en.waiting).(*answer))
	}
}

func (en *Engine) start(an *answer) {
	en.running++
	now := time.Now()
	en.report(now)
	en.ran = append(en.ran, EngineRun{Attempt: an.id, Model: an.model, ReceivedAt: an.received, At: now})
	fullness := float64(en.running) / float64(en.opt.Slots)
	an.startAt = now
	an.first = en.opt.Prefill
	if en.cached(an.model + an.prompt) {
		an.first /= 2
	}
	an.interval = time.Duration(float64(en.opt.TokenInterval) * (1 + fullness))
	lasts := an.first + time.Duration(an.tokens)*an.interval
	an.end = time.AfterFunc(lasts, en.finish)
	close(an.started)
}

func (en *Engine) finish() {
	en.mu.Lock()
	defer en.mu.Unlock()
	en.running--
	en.report(time.Now())
	en.fill()
}

func (en *Engine) report(now time.Time) {
	en.reported = append(en.reported, loadReport{at: now, running: en.running})
	for len(en.reported) > 1 && now.Sub(en.reported[1].at) > en.opt.LoadLag {
		en.reported = en.reported[1:]
	}
}

// laggingLoad gives the slots' utilisation as it was a while ago.
func (en *Engine) laggingLoad() float64 {
	en.mu.Lock()
	defer en.mu.Unlock()
	if len(en.reported) == 0 {
		return 0
	}
	return float64(en.reported[0].running) / float64(en.opt.Slots)
}

// cached tells whether a prompt's prefix is cached, and caches it.
func (en *Engine) cached(prompt string) bool {
	prefix := prompt[:min(len(prompt), prefixBytes)]
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

// stream sends the events of an answer after the one with id last.
func (en *Engine) stream(wr http.ResponseWriter, rq *http.Request, an *answer, last int) {
	select {
	case <-an.started:
	case <-rq.Context().Done():
		return
	}
	id := an.id
	if en.take(func(fa *Faults) *int { return &fa.CrossAnswers }) {
		id = "other-" + id
	}
	cut := en.take(func(fa *Faults) *int { return &fa.CutStreams })
	silent := en.take(func(fa *Faults) *int { return &fa.SilentStreams })
	fa := en.Faults()
	wr.Header().Set("Content-Type", "text/event-stream")
	wr.Header().Set(endpoint.HeaderAttempt, an.id)
	wr.Header().Set(endpoint.HeaderLoad, endpoint.FormatLoad(en.laggingLoad()))
	sent := 0
	for ev := last + 1; ev <= an.tokens+2; ev++ {
		if !an.waitFor(rq, min(ev, an.tokens)) {
			return
		}
		_, _ = fmt.Fprintf(wr, "id: %d\ndata: %s\n\n", ev, an.event(ev, id))
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

// waitFor waits until a token is generated.
func (an *answer) waitFor(rq *http.Request, token int) bool {
	at := an.startAt.Add(an.first + time.Duration(token)*an.interval)
	tm := time.NewTimer(time.Until(at))
	defer tm.Stop()
	select {
	case <-tm.C:
		return true
	case <-an.cancel:
		return false
	case <-rq.Context().Done():
		return false
	}
}

// event gives the text of an event: tokens, the finish reason, the usage, and
// the end.
func (an *answer) event(ev int, id string) string {
	head := fmt.Sprintf(`{"id":"chatcmpl-%s","object":"chat.completion.chunk","created":%d,"model":%q`, id, an.startAt.Unix(), an.model)
	switch {
	case ev < an.tokens:
		return fmt.Sprintf(`%s,"choices":[{"index":0,"delta":{"role":"assistant","content":"%s-%d "},"finish_reason":null}]}`, head, an.model, ev)
	case ev == an.tokens:
		return head + `,"choices":[{"index":0,"delta":{},"finish_reason":"stop"}]}`
	case ev == an.tokens+1:
		prompt := len(strings.Fields(an.prompt)) + 1
		return fmt.Sprintf(`%s,"choices":[],"usage":{"prompt_tokens":%d,"completion_tokens":%d,"total_tokens":%d}}`, head, prompt, an.tokens, prompt+an.tokens)
	default:
		return "[DONE]"
	}
}

// waitHeap orders waiting answers by priority, then by arrival.
type waitHeap []*answer

func (wh waitHeap) Len() int { return len(wh) }
func (wh waitHeap) Less(i, j int) bool {
	if wh[i].priority != wh[j].priority {
		return wh[i].priority < wh[j].priority
	}
	return wh[i].order < wh[j].order
}
func (wh waitHeap) Swap(i, j int) { wh[i], wh[j] = wh[j], wh[i] }

// Push implements heap.Interface.
func (wh *waitHeap) Push(va any) { *wh = append(*wh, va.(*answer)) }

// Pop implements heap.Interface.
func (wh *waitHeap) Pop() any {
	old := *wh
	last := old[len(old)-1]
	*wh = old[:len(old)-1]
	return last
}
