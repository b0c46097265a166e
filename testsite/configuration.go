package testsite

// Configuration is the document that the operator writes under the key op/config
// of the users' platform. The routers take routes, services, limits and tenants
// from it.
type Configuration struct {
	Version  int64                  `json:"version"`
	Routes   []RouteConfiguration   `json:"routes"`
	Services []ServiceConfiguration `json:"services"`
	Limits   LimitsConfiguration    `json:"limits"`
	Tenants  []TenantConfiguration  `json:"tenants"`
}

// RouteConfiguration describes a route. Requests for Host whose path begins with
// Prefix belong to it.
type RouteConfiguration struct {
	Name            string   `json:"name"`
	Host            string   `json:"host"`
	Prefix          string   `json:"prefix"`
	Kind            string   `json:"kind"`
	TimeoutMS       int64    `json:"timeout_ms"`
	TargetLatencyMS int64    `json:"target_latency_ms"`
	Priority        int64    `json:"priority"`
	Sizes           []string `json:"sizes,omitempty"`
	Service         string   `json:"service"`
	MaxAttempts     int64    `json:"max_attempts"`
	SessionAffinity bool     `json:"session_affinity,omitempty"`
	StreamResume    bool     `json:"stream_resume,omitempty"`
	TargetGapMS     int64    `json:"target_gap_ms,omitempty"`
}

// ServiceConfiguration describes a service. Engine is nil for a service that is not
// a model engine.
type ServiceConfiguration struct {
	Name           string               `json:"name"`
	HealthPath     string               `json:"health_path"`
	MaxConnections int64                `json:"max_connections"`
	Engine         *EngineConfiguration `json:"engine,omitempty"`
	ColdPerS       float64              `json:"cold_per_s,omitempty"`
}

// EngineConfiguration holds the capacity of each replica of a model engine.
type EngineConfiguration struct {
	Slots    int64 `json:"slots"`
	KVTokens int64 `json:"kv_tokens"`
}

// LimitsConfiguration holds the limits of callers' requests and connections.
type LimitsConfiguration struct {
	MaxHeaderBytes  int64 `json:"max_header_bytes"`
	MaxBodyBytes    int64 `json:"max_body_bytes"`
	HeaderTimeoutMS int64 `json:"header_timeout_ms"`
	IdleTimeoutMS   int64 `json:"idle_timeout_ms"`
}

// TenantConfiguration holds the API keys of a tenant.
type TenantConfiguration struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"api_keys"`
}

// defaultConfiguration returns the configuration that RouterSite.Configure starts
// from.
func defaultConfiguration() *Configuration {
	return &Configuration{
		Routes: []RouteConfiguration{
			{
				Name: "r-notes", Host: RouteHost, Prefix: EngineRoute, Kind: "streaming", TimeoutMS: 20_000, TargetLatencyMS: 1000,
				Sizes: []string{SmallModel, LargeModel}, Service: EngineService, MaxAttempts: 3,
				SessionAffinity: true, StreamResume: true, TargetGapMS: 800,
			},
			{Name: "r-loans", Host: RouteHost, Prefix: UnsafeRoute, Kind: "unsafe", TimeoutMS: 800, TargetLatencyMS: 150, Priority: 2, Service: PlainService, MaxAttempts: 3},
			{Name: "r-places", Host: RouteHost, Prefix: SafeRoute, Kind: "safe", TimeoutMS: 800, TargetLatencyMS: 150, Priority: 2, Service: PlainService, MaxAttempts: 2},
		},
		Services: []ServiceConfiguration{
			{Name: EngineService, HealthPath: "/health", MaxConnections: 370, Engine: &EngineConfiguration{Slots: 8, KVTokens: 484_470}},
			{Name: PlainService, HealthPath: "/health", MaxConnections: 110},
		},
		Limits:  LimitsConfiguration{MaxHeaderBytes: 16_384, MaxBodyBytes: 65_536, HeaderTimeoutMS: 3000, IdleTimeoutMS: 15_000},
		Tenants: []TenantConfiguration{{Name: Tenant, APIKeys: []string{CallerKey}}},
	}
}
