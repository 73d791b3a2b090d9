package raft

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/wisteriamux/wisteriamux/internal/fault"
)

// EncodeMembership returns the data of an EntryMembership entry.
func EncodeMembership(m Membership) []byte {
	data, err := cbor.Marshal(m)
	if err != nil {
		// Unreachable: encoding a struct of strings, integers and booleans cannot fail.
		panic(err)
	}
	return data
}

// DecodeMembership parses the data of an EntryMembership entry.
func DecodeMembership(data []byte) (Membership, error) {
	var m Membership
	if err := cbor.Unmarshal(data, &m); err != nil {
		return m, fault.New(fault.Corrupt, "raft.membership", "decode membership: %w", err)
	}
	return m, nil
}
