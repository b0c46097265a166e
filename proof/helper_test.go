package proof_test

import (
	"errors"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

func hashKey(key string) string { return policy.HashKey(key) }

// leavingVM returns an endpoint's VM as the VM list has it before the VM goes away.
func leavingVM(endpoint, address string) vm.VM {
	return vm.VM{ID: vm.ID(endpoint), Role: vm.RoleEndpoint, State: vm.Leaving, Address: address, Endpoint: endpoint}
}

// asConflict reports whether err is a conflict of changes, and sets *co to it.
func asConflict(err error, co **configuration.Conflict) bool { return errors.As(err, co) }
