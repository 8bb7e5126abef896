// Package dissemination decides how copies of a table spread from the instances that read
// it from the store to all others: how many bytes of copies an instance sends (Uplink), and
// which instance is asked for a copy (Sources). An instance that has received a copy sends
// it on, so that the time until the last one has it grows with the logarithm of their
// number, and no link carries more than a stated share of copies. Its types have no I/O and
// no clock, and are not safe for concurrent use.
package dissemination
