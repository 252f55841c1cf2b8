import type {Account} from './account.js';
import {transferred} from './transferred.js';

/** Tokens that the holder may still reserve. */
export const available = (account: Account): number =>
	account.granted + transferred(account) - account.reserved - account.settled;
