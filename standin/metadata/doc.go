// Package metadata is a stand-in of the users' platform's metadata store: its
// calls and answers over the state of package standin/keyvalue, with faults.
package metadata
