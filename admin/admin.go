// Package admin provides the HTTP handler of a daemon's admin listener: health
// check, metrics, state dump, and routes that the daemon adds. They are served only
// on that listener, not on the one for callers.
package admin

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/metric"
)

// Dumper returns a daemon's state, which is encoded as JSON.
type Dumper func() any

// NewRouter returns the admin listener's handler. /metrics and /healthz need no key;
// /v1/dump needs an operator's key, as do the routes that extra adds. extra may be
// nil.
func NewRouter(ho *configuration.Holder, me *metric.Metrics, dump Dumper, extra func(ro gin.IRoutes)) http.Handler {
	en := gin.New()
	en.Use(gin.Recovery())
	en.GET("/metrics", gin.WrapH(me.Handler()))
	en.GET("/healthz", func(co *gin.Context) { co.Status(http.StatusOK) })
	op := en.Group("/", requireOperator(ho))
	op.GET("/v1/dump", func(co *gin.Context) { co.IndentedJSON(http.StatusOK, dump()) })
	if extra != nil {
		extra(op)
	}
	return en
}

// requireOperator answers requests without a known operator's key with 401.
func requireOperator(ho *configuration.Holder) gin.HandlerFunc {
	return func(co *gin.Context) {
		key, ok := strings.CutPrefix(co.GetHeader("Authorization"), "Bearer ")
		if ok {
			_, ok = ho.Set().OperatorByKey(key)
		}
		if !ok {
			co.AbortWithStatusJSON(http.StatusUnauthorized, Problem{Error: "an operator's key is required"})
		}
	}
}

// Problem is the JSON body of an error response.
type Problem struct {
	Error string `json:"error"`
}
