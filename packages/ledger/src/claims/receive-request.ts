/** Reports rights that another holder gave, as the total that it ever gave. */
export type ReceiveRequest = {
	readonly type: 'receive';
	readonly budget: string;
	/** The holder that asked for the rights; any other holder ignores this request. */
	readonly to: string;
	/** The holder that gave the rights. */
	readonly from: string;
	/** All tokens that `from` ever gave to `to` on this budget. */
	readonly total: number;
};
