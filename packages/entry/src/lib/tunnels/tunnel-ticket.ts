/** Names one tunnel: the address of the peer that opened it, `ip:port`, and the ticket by which it was taken over. */
export type TunnelTicket = {readonly peer: string; readonly ticket: string};
