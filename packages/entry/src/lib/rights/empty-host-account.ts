import type {HostAccount} from './host-account.js';

/** An account without rights. */
export const emptyHostAccount: HostAccount = {
	granted: 0, received: new Map(), given: new Map(), reserved: 0, settled: 0, demanded: 0, rate: 0, observedSeconds: 0,
};
