package main

import (
	"encoding/json"
	"os"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"tanagerpoint.example/tanager/command"
	"tanagerpoint.example/tanager/standin"
	"tanagerpoint.example/tanager/vm"
)

const storeHelp = `Serve the platform's key-value service: the etcd v3 JSON API, as far as
tanagerpoint uses it. It keeps everything in memory.`

func newStoreCommand() *cobra.Command {
	var address string
	co := &cobra.Command{
		Use: "store", Short: "Serve the key-value service", Long: storeHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			st := standin.NewStore()
			return serve(address, st.Handler(), st.ExpireLeases)
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7600", "address, IP:port")
	return co
}

const vmsHelp = `Serve the VM list at /vms, in the format of Prometheus HTTP service discovery,
from a JSON file in the same format. The file is read again when it changes.`

func newVMsCommand() *cobra.Command {
	var address, file string
	var lag time.Duration
	co := &cobra.Command{
		Use: "vms", Short: "Serve the VM list", Long: vmsHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			li := standin.NewVMList(lag)
			update := newVMFile(file, li)
			if err := update(); err != nil {
				return command.Exit(command.ExitFailed, err)
			}
			// After an error the list stays as it is, and the next tick tries again.
			return serve(address, li.Handler(), func() { _ = update() })
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7601", "address, IP:port")
	co.Flags().StringVar(&file, "file", "vms.json", "the list")
	co.Flags().DurationVar(&lag, "lag", time.Second, "time until a change shows")
	return co
}

// newVMFile returns a function that updates li from a file, if the file has changed
// since the last call. The function must not be called concurrently.
func newVMFile(file string, li *standin.VMList) func() error {
	var modTime time.Time
	listed := map[vm.ID]bool{}
	return func() error {
		fi, err := os.Stat(file)
		if err != nil {
			return eris.Wrap(err, "newVMFile")
		}
		if fi.ModTime().Equal(modTime) {
			return nil
		}
		text, err := os.ReadFile(file)
		if err != nil {
			return eris.Wrap(err, "newVMFile")
		}
		var grs []vm.TargetGroup
		if err := json.Unmarshal(text, &grs); err != nil {
			return eris.Wrapf(err, "newVMFile: %s", file)
		}
		modTime = fi.ModTime()
		inFile := map[vm.ID]bool{}
		for _, gr := range grs {
			la := gr.Labels
			for _, ta := range gr.Targets {
				li.Put(vm.VM{ID: vm.ID(la.VM), Role: vm.Role(la.Role), State: vm.State(la.State), Address: ta, Endpoint: la.Endpoint})
			}
			inFile[vm.ID(la.VM)] = true
		}
		for id := range listed {
			if !inFile[id] {
				li.Remove(id)
			}
		}
		listed = inFile
		return nil
	}
}

const ratingHelp = `Serve the rating service. Each version has the quality given with --quality.`

func newRatingCommand() *cobra.Command {
	var address string
	var lag time.Duration
	var quality map[string]string
	co := &cobra.Command{
		Use: "rating", Short: "Serve the rating service", Long: ratingHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			parsed := map[string]float64{}
			for version, text := range quality {
				if err := json.Unmarshal([]byte(text), new(float64)); err != nil {
					return command.Exit(command.ExitUsage, eris.Errorf("--quality %s=%s is not a number", version, text))
				}
				var num float64
				_ = json.Unmarshal([]byte(text), &num)
				parsed[version] = num
			}
			return serve(address, standin.NewRating(lag, parsed).Handler(), nil)
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7602", "address, IP:port")
	co.Flags().DurationVar(&lag, "lag", 2*time.Second, "time until a rating shows")
	co.Flags().StringToStringVar(&quality, "quality", nil, "VERSION=QUALITY, from 0 to 1")
	return co
}

const weightsHelp = `Serve the weight store, which allows one read in each interval.`

func newWeightsCommand() *cobra.Command {
	var address string
	var interval time.Duration
	co := &cobra.Command{
		Use: "weights", Short: "Serve the weight store", Long: weightsHelp, Args: command.NoArguments,
		RunE: func(*cobra.Command, []string) error {
			return serve(address, standin.NewWeights(interval).Handler(), nil)
		},
	}
	co.Flags().StringVar(&address, "listen", "127.0.0.1:7603", "address, IP:port")
	co.Flags().DurationVar(&interval, "every", time.Second, "time between reads")
	return co
}
