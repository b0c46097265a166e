//go:build tools

// Package tools imports the protoc plugins that generate rpc/, so that go.mod pins their
// versions.
package tools

import (
	_ "github.com/twitchtv/twirp/protoc-gen-twirp"
	_ "google.golang.org/protobuf/cmd/protoc-gen-go"
)
