package system

import (
	"encoding/binary"
	"net"

	"github.com/juju/errors"
	"github.com/vishvananda/netlink/nl"
	"golang.org/x/sys/unix"
)

// netlink finds out the byte order at the first query, without a lock.
var _ = nl.NativeEndian()

// socketQuery asks the kernel for the IPv4 socket that has a local and a remote address,
// as struct inet_diag_req_v2.
type socketQuery struct {
	local, remote *net.TCPAddr
}

// Len implements nl.NetlinkRequestData.
func (q socketQuery) Len() int {
	const size = 56
	return size
}

// Serialize implements nl.NetlinkRequestData.
func (q socketQuery) Serialize() []byte {
	const (
		addressSize = 16
		allStates   = 0xffffffff
		anyIndex    = 0
	)
	b := make([]byte, 0, q.Len())
	b = append(b, unix.AF_INET, unix.IPPROTO_TCP, 0, 0)
	b = binary.NativeEndian.AppendUint32(b, allStates)
	b = binary.BigEndian.AppendUint16(b, uint16(q.local.Port))
	b = binary.BigEndian.AppendUint16(b, uint16(q.remote.Port))
	for _, ip := range []net.IP{q.local.IP, q.remote.IP} {
		b = append(b, ip.To4()...)
		b = append(b, make([]byte, addressSize-net.IPv4len)...)
	}
	b = binary.NativeEndian.AppendUint32(b, anyIndex)
	b = binary.NativeEndian.AppendUint32(b, nl.TCPDIAG_NOCOOKIE)
	return binary.NativeEndian.AppendUint32(b, nl.TCPDIAG_NOCOOKIE)
}

// socketInode returns the inode of the TCP socket with a local and a remote address. The
// error matches os.ErrNotExist if there is none.
//
// The kernel is asked for this one socket: its whole table takes longer to read than a
// host waits for a connection. netlink.SocketGet asks for a list instead, which the kernel
// filters by the ports only, so that it finds other sockets with the same pair of ports.
func socketInode(local, remote net.Addr) (uint32, error) {
	const (
		inodeOffset = 68 // of idiag_inode in struct inet_diag_msg
		inodeSize   = 4
	)
	from, fromTCP := local.(*net.TCPAddr)
	to, toTCP := remote.(*net.TCPAddr)
	if !fromTCP || !toTCP {
		return 0, errors.NotSupportedf("socket from %s to %s", local, remote)
	}
	request := nl.NewNetlinkRequest(nl.SOCK_DIAG_BY_FAMILY, 0)
	request.AddData(socketQuery{
		local:  from,
		remote: to,
	})
	messages, err := request.Execute(unix.NETLINK_INET_DIAG, nl.SOCK_DIAG_BY_FAMILY)
	if err != nil {
		return 0, errors.Annotatef(err, "query the socket from %s to %s", local, remote)
	}
	if len(messages) != 1 || len(messages[0]) < inodeOffset+inodeSize {
		return 0, errors.Errorf("query the socket from %s to %s: invalid response", local, remote)
	}
	return binary.NativeEndian.Uint32(messages[0][inodeOffset:]), nil
}
