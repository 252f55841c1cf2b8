import type {Holdings} from './holdings.js';
import {transferred} from './transferred.js';

/** Tokens that the holder may still reserve. Negative when endpoints served more than the holder's rights. */
export const available = (account: Holdings): number =>
	account.granted + transferred(account) - account.reserved - account.settled;
