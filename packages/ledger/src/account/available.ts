import type {Holdings} from './holdings.js';
import {transferred} from './transferred.js';

/** Tokens that the holder may still reserve. */
export const available = (account: Holdings): number =>
	account.granted + transferred(account) - account.reserved - account.settled;
