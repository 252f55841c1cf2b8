/** Asks to return rights to the store. */
export type GiveBackRequest = {
	readonly type: 'give_back';
	/** Tokens to return, by budget; less is returned where less is available. */
	readonly amounts: ReadonlyArray<{readonly budget: string; readonly amount: number}>;
};
