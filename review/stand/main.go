// Command stand plays one case of the review: it starts routers as processes of their own,
// with stand-ins for the platform's store and the services' replicas, sends requests, and
// judges one rule by what clients, replicas and the platform see.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// maxRun bounds a case.
const maxRun = 110 * time.Second

// verdict says whether the rule of a case was broken.
type verdict struct {
	broken bool
	text   string
}

// scenario plays a case at a site. trouble is false for the same play without the disruption.
type scenario struct {
	options siteOptions
	play    func(ctx context.Context, si *site, trouble bool) (verdict, error)
}

var scenarios = map[string]scenario{}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	trouble := flag.Bool("trouble", true, "whether the disruption happens")
	record := flag.String("record", "record.txt", "file to write what was sent, answered and run to")
	program := flag.String("router", "target/tanager-router", "the router's program")
	template := flag.String("template", "deploy/router.ini", "the template of the router's settings")
	flag.Parse()
	sc, ok := scenarios[*name]
	if !ok {
		fmt.Fprintln(os.Stderr, "stand: there is no case", *name)
		return exitNotRun
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	ctx, cancel := context.WithTimeout(ctx, maxRun)
	defer cancel()
	ve, err := playCase(ctx, sc, *trouble, files{record: *record, program: *program, template: *template})
	if err != nil {
		fmt.Fprintln(os.Stderr, "stand: the case could not run:", err)
		return exitNotRun
	}
	fmt.Println(ve.text)
	if ve.broken {
		return exitBroken
	}
	return exitHeld
}

// files are the files that a case uses.
type files struct{ record, program, template string }

func playCase(ctx context.Context, sc scenario, trouble bool, fi files) (verdict, error) {
	si, err := newSite(sc.options, fi)
	if err != nil {
		return verdict{}, err
	}
	defer si.close()
	if err := si.start(); err != nil {
		return verdict{}, err
	}
	ve, err := sc.play(ctx, si, trouble)
	if err == nil && ctx.Err() != nil {
		err = errors.New("it took too long, or was stopped")
	}
	if err == nil {
		si.record.add("verdict", "%s", ve.text)
	}
	return ve, err
}
