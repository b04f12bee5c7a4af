// Package responsehead rejects responses whose head HTTP does not allow but package net/http accepts.
package responsehead
