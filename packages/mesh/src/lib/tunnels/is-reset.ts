import type {Socket} from 'node:net';

/**
Whether a connection whose end was read was in fact reset. When a reset arrives together with data, libuv reports an ordinary end (it takes a hang-up
after a short read for one). Only a socket that was reset has no remote address any more, unless this was asked for before.
*/
export const isReset = (socket: Socket): boolean => socket.remoteAddress === undefined;
