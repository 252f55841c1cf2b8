/**
The result of a connection attempt to an `ip:port`: the connection was accepted (`reached`) or refused (`refused`), or the attempt
timed out or failed with another error (`silent`).

A port on which no process listens refuses connections. Some network failures show up as a refused connection, too.
*/
export type ProbeResult = 'reached' | 'refused' | 'silent';
