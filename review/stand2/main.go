// Command stand2 plays the cases of the second review that are scripts: it starts routers as
// processes, with the command of the deploy file, between stand-ins for clients, replicas and the
// platform's store, on loopback addresses and the real clock.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
)

// The exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play plays a case on a number of routers, and returns whether the rule was broken.
type play struct {
	routers int
	run     func(si *site, trouble bool) (broken bool, err error)
}

var plays = map[string]play{
	"crashing-part":   {routerCount, playCrashingPart},
	"silent-watchers": {routerCount + spareCount, playSilentWatchers},
}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "name of the case")
	folder := flag.String("folder", ".", "folder of the case, in which record.txt is written")
	root := flag.String("root", ".", "root of the repository, with the release build in target/")
	trouble := flag.Bool("trouble", true, "play the disruption")
	flag.Parse()
	pl, ok := plays[*name]
	if !ok {
		_, _ = fmt.Fprintf(os.Stderr, "stand2: no case is named %q\n", *name)
		return exitNotRun
	}
	broken, err := playIn(pl, *root, filepath.Join(*folder, "record.txt"), *trouble)
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(os.Stderr, "stand2:", err)
		return exitNotRun
	case broken:
		return exitBroken
	default:
		return exitHeld
	}
}

// playIn plays a case in a new temporary folder, and writes its record.
func playIn(pl play, root, recordFile string, trouble bool) (broken bool, err error) {
	dir, err := os.MkdirTemp("", "stand2-")
	if err != nil {
		return false, err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	si, err := newSite(root, dir, pl.routers)
	if err != nil {
		return false, err
	}
	defer si.close()
	broken, err = pl.run(si, trouble)
	return broken, errors.Join(err, si.record.write(recordFile))
}
