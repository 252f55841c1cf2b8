import type {HostAccount} from './host-account.js';

/** The account of a budget on which a host has no rights and has seen no demand. */
export const emptyHostAccount: HostAccount = {
	granted: 0, received: new Map(), given: new Map(), reserved: 0, settled: 0, demanded: 0, rate: 0, observedSeconds: 0,
};
