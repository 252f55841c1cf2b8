/** Another holder asks this holder for rights on a budget. */
export type WantRequest = {
	readonly type: 'want';
	readonly budget: string;
	/** The name of the holder that asks. */
	readonly holder: string;
	/** How many tokens it asks for; less is given where less is available. */
	readonly tokens: number;
};
