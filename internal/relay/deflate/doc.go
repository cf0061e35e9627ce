// Package deflate compresses and decompresses short messages between hosts.
package deflate
