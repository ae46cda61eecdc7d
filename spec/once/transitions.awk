# Turns transitions.txt into Promela: one inline step per operation, ledger_<operation>(t).
/^#/ || NF == 0 { next }
{
    names[$1]; names[$3]; names[$4]
    rows[$2] = rows[$2] "    :: state[t] == " $1 " -> result = " $3 "; state[t] = " $4 "\n"
}
END {
    list = ""
    for (name in names) list = list (list == "" ? "" : ", ") name
    print "mtype = { " list " };"
    for (operation in rows)
        print "inline ledger_" operation "(t) {\n    if\n" rows[operation] "    fi\n}"
}
