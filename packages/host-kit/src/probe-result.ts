/**
What a connection that was tried tells of an `ip:port`: it was accepted, it was refused, or nothing came in time.

Dead ports refuse, and some cuts do as well.
*/
export type ProbeResult = 'reached' | 'refused' | 'silent';
