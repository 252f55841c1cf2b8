/** Rights are to go back to the store. */
export type GiveBackRequest = {
	readonly type: 'give_back';
	readonly amounts: ReadonlyArray<{readonly budget: string; readonly amount: number}>;
};
