// Package sockopt sets options of TCP sockets that package net does not offer.
package sockopt
