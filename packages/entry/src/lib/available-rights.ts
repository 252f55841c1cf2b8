import type {HostAccount} from './host-account.js';
import {transferredRights} from './transferred-rights.js';

/** Tokens that this host may still reserve. */
export const availableRights = (account: HostAccount): number =>
	account.granted + transferredRights(account) - account.reserved - account.settled;
