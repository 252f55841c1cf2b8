/** Rights arrive from another holder, as the total it ever gave. */
export type ReceiveRequest = {
	readonly type: 'receive';
	readonly budget: string;
	/** The holder that asked for them. */
	readonly to: string;
	readonly from: string;
	readonly total: number;
};
