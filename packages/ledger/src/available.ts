import type {Account} from './account.js';
import {sumOf} from './lib/sum-of.js';

/** Tokens that the holder may still reserve. */
export const available = (account: Account): number =>
	account.granted + sumOf(account.received.values()) - sumOf(account.given.values()) - account.reserved - account.settled;
