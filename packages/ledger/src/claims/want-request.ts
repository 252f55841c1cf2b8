/** Another holder asks for rights that this one can spare. */
export type WantRequest = {
	readonly type: 'want';
	readonly budget: string;
	/** The holder that asks. */
	readonly holder: string;
	readonly tokens: number;
};
