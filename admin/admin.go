// Package admin serves operators: state dumps, metrics, and what a daemon adds
// of its own. Callers cannot reach its listener's routes.
package admin

import (
	"net/http"
	"strings"

	"github.com/gin-gonic/gin"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/metric"
)

// Dumper gives a daemon's state, to be written as JSON.
type Dumper func() any

// NewRouter gives the admin listener's routes. extra adds routes that need an
// operator's key.
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

// Problem is an error in an admin answer.
type Problem struct {
	Error string `json:"error"`
}
