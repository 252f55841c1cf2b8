import {Map as ImmutableMap} from 'immutable';
import type {Account} from '../account/account.js';

/** An account without rights or charges. */
export const emptyAccount: Account = {
	granted: 0,
	received: ImmutableMap(),
	given: ImmutableMap(),
	reserved: 0,
	settled: 0,
	billed: 0,
	wasted: 0,
};
