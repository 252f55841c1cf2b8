import type {Socket} from 'node:net';

/**
Closes a peer's connection to a tunnel of this host. It is reset, so that what is cut off never looks complete, unless all of it and its end were passed
on before: a reset would take back what is still on its way.
*/
export const closeTunnel = (peer: Socket): void => {
	if (peer.writableFinished) {
		peer.destroy();
	} else {
		peer.resetAndDestroy();
	}
};
