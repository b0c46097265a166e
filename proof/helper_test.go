package proof_test

import (
	"errors"

	"tanagerpoint.example/tanager/configuration"
	"tanagerpoint.example/tanager/policy"
	"tanagerpoint.example/tanager/vm"
)

func hashOf(key string) string { return policy.HashKey(key) }

func leavingVM(endpoint, address string) vm.VM {
	return vm.VM{ID: vm.ID(endpoint), Role: vm.RoleEndpoint, State: vm.Leaving, Address: address, Endpoint: endpoint}
}

func asConflict(err error, co **configuration.Conflict) bool { return errors.As(err, co) }
